"""Removals after the source was away are held back for a while."""

import math

import pytest

from medlarquay import replica


def test_a_removal_in_calm_times_is_acted_on_at_once() -> None:
    """Guards against work sent to a backend server that has left."""
    guard = replica.LapseGuard()
    assert guard.hold_until(now=10, confirmed_at=8.5) == -math.inf


def test_a_lagging_tree_is_no_outage() -> None:
    """Guards against a removal held back while the source is sound.

    After two lost parents the data of a node can be 4 s old; a removal that
    is then held back for 2.2 s comes later than 2.5 s after it was accepted.
    """
    guard = replica.LapseGuard()
    assert guard.hold_until(now=10, confirmed_at=5.8) == -math.inf


def test_a_node_that_has_just_started_holds_nothing_back() -> None:
    """Guards against a start that waits for an outage that never was."""
    guard = replica.LapseGuard()
    assert guard.hold_until(now=10, confirmed_at=-math.inf) == -math.inf


def test_removals_after_an_outage_wait_until_the_living_are_back() -> None:
    """Guards against services emptied by entries that lapsed meanwhile."""
    guard = replica.LapseGuard()
    until = guard.hold_until(now=20, confirmed_at=12)
    assert until == pytest.approx(22.2)
    # The confirmation follows the records; later removals wait as well.
    assert guard.hold_until(now=21, confirmed_at=20.5) == until
    assert guard.hold_until(now=until, confirmed_at=until - 1) == -math.inf
