"""Faults of the source that a test can switch on."""

import dataclasses

__all__ = ('SourceFaults',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SourceFaults:
    """Faults of the source that a test can switch on.

    Attributes
    ----------
    down : bool
        Connections are reset without an answer.
    behind : int
        Revisions by which a stale replica lags.
    stale_every : int
        Every n-th call is answered by the stale replica; 1 for each call.
    slow_ms : int
        Delay of each answer.
    list_lag_ms : int
        Time until a change of the instance list becomes visible.
    """

    down: bool = False
    behind: int = 0
    stale_every: int = 1
    slow_ms: int = 0
    list_lag_ms: int = 0
