"""Faults of the source double that a test can inject."""

import dataclasses

__all__ = ('SourceFaults',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SourceFaults:
    """Faults of the source double that a test can inject.

    Attributes
    ----------
    down : bool
        Whether requests are reset without an answer.
    behind : int
        Number of revisions by which the stale replica lags.
    stale_every : int
        The stale replica answers every n-th call; 1 for each call.
    slow_ms : int
        Delay in milliseconds of an answer that does not wait for a change.
    list_lag_ms : int
        Time in milliseconds until a change of the instance list becomes
        visible.
    """

    down: bool = False
    behind: int = 0
    stale_every: int = 1
    slow_ms: int = 0
    list_lag_ms: int = 0
