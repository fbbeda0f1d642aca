"""Removals that arrive after an outage of the source are held back."""

import math

import pytest

from medlarquay import replica


def test_removal_without_outage_applies_at_once() -> None:
    """Guards against calls sent to a backend server that has been removed."""
    guard = replica.LapseGuard()
    assert guard.hold_until(now=10, confirmed_at=8.5) == -math.inf


def test_lagging_tree_is_not_an_outage() -> None:
    """Guards against a removal that is held back without a source outage.

    After losing two parents, a node can have data that is 4 s old. A removal
    that is then held back for 2.2 s takes effect later than 2.5 s after it
    was accepted.
    """
    guard = replica.LapseGuard()
    assert guard.hold_until(now=10, confirmed_at=5.8) == -math.inf


def test_starting_node_does_not_hold_removals() -> None:
    """Guards against a start that is taken for the end of an outage."""
    guard = replica.LapseGuard()
    assert guard.hold_until(now=10, confirmed_at=-math.inf) == -math.inf


def test_removals_after_outage_are_held() -> None:
    """Guards against services without instances after a source outage.

    Entries lapse during the outage, although their instances are live.
    """
    guard = replica.LapseGuard()
    until = guard.hold_until(now=20, confirmed_at=12)
    assert until == pytest.approx(22.2)
    # The confirmation arrives after the records, so removals that arrive later
    # are held back as well.
    assert guard.hold_until(now=21, confirmed_at=20.5) == until
    assert guard.hold_until(now=until, confirmed_at=until - 1) == -math.inf
