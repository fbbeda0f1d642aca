"""What the operators' pages know of the node."""

import dataclasses
from collections.abc import Callable

from medlarquay import messages, snapshots, states, telemetry

__all__ = ('ObservedNode',)


@dataclasses.dataclass(slots=True, kw_only=True)
class ObservedNode:
    """What the operators' pages know of the node; owned by ``Admin``.

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
        State of the lifecycle.
    snapshot : snapshots.Snapshot or None
        Configuration in force.
    confirmed_at : float or None
        Latest time at which the source confirmed it, seconds on the monotonic
        clock.
    """

    hello: messages.Hello
    counters: telemetry.Counters
    records: telemetry.RecordLog
    clock: Callable[[], float]
    state: states.NodeState = states.NodeState.STARTING
    snapshot: snapshots.Snapshot | None = None
    confirmed_at: float | None = None
