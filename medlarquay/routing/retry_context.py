"""What the decision about a retry depends on besides the failure."""

import dataclasses

__all__ = ('RetryContext',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryContext:
    """What the decision about a retry depends on besides the failure.

    Attributes
    ----------
    idempotent : bool
        Whether the request may run more than once.
    keyed : bool
        Whether a key ties the request to one owner.
    retries : int
        Retries of this request so far.
    sends : int
        Backend servers that may have seen the request so far.
    max_sends : int
        Most backend servers that the request may be sent to.
    deadline : float
        Deadline of the request, seconds on the monotonic clock.
    expected_time : float
        Expected time of another attempt in seconds.
    other_backend : bool
        Whether another backend server may be sent the request.
    newer_snapshot : bool
        Whether the snapshot was replaced since the owner was chosen.
    """

    idempotent: bool
    keyed: bool
    retries: int
    deadline: float
    expected_time: float
    other_backend: bool
    newer_snapshot: bool
    sends: int = 0
    max_sends: int = 3
