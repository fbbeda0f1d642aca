"""Composition of the state that a node exposes to its operators."""

import secrets
from collections.abc import Callable

from medlarquay import admin, ids, messages, telemetry
from medlarquay.daemon import node_settings

__all__ = ('build_observed_node',)

_INCARNATION_BYTES = 8


def build_observed_node(
    settings: node_settings.NodeSettings,
    clock: Callable[[], float],
) -> admin.ObservedNode:
    """Build the identity, counters and record log of a starting node."""
    return admin.ObservedNode(
        hello=messages.Hello(
            instance=settings.instance,
            incarnation=ids.Incarnation(secrets.token_hex(_INCARNATION_BYTES)),
            region=settings.region,
            data_centre=settings.data_centre,
        ),
        counters=telemetry.Counters(),
        records=telemetry.RecordLog(),
        clock=clock,
    )
