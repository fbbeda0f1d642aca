"""What the node recorded of one call."""

import dataclasses

__all__ = ('RecordView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordView:
    """What the node recorded of one call.

    Attributes
    ----------
    recorded_at : float
        Unix time in seconds.
    side : str
        Ingress (what the caller was told) or owner (what ran).
    team, service : str
        Service; empty when no route matched.
    method, target : str
        Request line.
    request_key : str or None
        Idempotency key.
    outcome : str
        Run, not run or unknown.
    status : int
        HTTP status; 0 when there was none.
    reason : str or None
        Why the system answered.
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
