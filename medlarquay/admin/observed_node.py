"""Status of the node that the admin pages show."""

import dataclasses
from collections.abc import Callable

from medlarquay import messages, replica, snapshots, states, telemetry

__all__ = ('ObservedNode',)


@dataclasses.dataclass(slots=True, kw_only=True)
class ObservedNode:
    """Status of the node that the admin pages show; owned by ``Admin``.

    Attributes
    ----------
    hello : messages.Hello
        Identity of the node.
    counters : telemetry.Counters
        Counters shared with the other tasks.
    records : telemetry.RecordLog
        Call records shared with the other tasks.
    clock : callable
        Returns seconds on the monotonic clock.
    state : states.NodeState
        Lifecycle state.
    snapshot : snapshots.Snapshot or None
        Active configuration; None until the node has one.
    confirmed_at : float or None
        Latest time at which the source confirmed the configuration, in
        seconds on the monotonic clock.
    rejected : tuple of TeamRecord
        Records of the teams whose newest version was rejected.
    """

    hello: messages.Hello
    counters: telemetry.Counters
    records: telemetry.RecordLog
    clock: Callable[[], float]
    state: states.NodeState = states.NodeState.STARTING
    snapshot: snapshots.Snapshot | None = None
    confirmed_at: float | None = None
    rejected: tuple[replica.TeamRecord, ...] = ()
