"""State of a request that a retry decision depends on."""

import dataclasses

__all__ = ('RetryContext',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryContext:
    """State of a request that a retry decision depends on.

    Attributes
    ----------
    idempotent : bool
        Whether the request may run more than once.
    keyed : bool
        Whether an idempotency key ties the request to one owner.
    retries : int
        Retries of this request so far.
    sent_attempts : int
        Number of backend servers that may have received the request so far.
    max_sent_attempts : int
        Maximum number of backend servers that the request may be sent to.
    deadline : float
        Deadline of the request, seconds on the monotonic clock.
    expected_time : float
        Expected duration of another attempt in seconds.
    other_backend : bool
        Whether another backend server is eligible for the request.
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
    sent_attempts: int = 0
    max_sent_attempts: int = 3
