"""Record of one call."""

import dataclasses

__all__ = ('RecordView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordView:
    """Record of one call.

    Attributes
    ----------
    recorded_at : float
        Unix time in seconds.
    side : str
        Ingress (the answer that the caller got) or owner (the run of the
        request).
    team, service : str
        Service that was called; empty when no route matched.
    method, target : str
        Method and target of the request line.
    request_key : str or None
        Idempotency key.
    outcome : str
        Run, not run or unknown.
    status : int
        HTTP status; 0 when there was none.
    reason : str or None
        Reason for which the system answered instead of the backend server.
    """

    recorded_at: float
    side: str
    team: str
    service: str
    method: str
    target: str
    request_key: str | None
    outcome: str
    status: int
    reason: str | None
