"""Record that a node keeps of a call."""

import dataclasses

from medlarquay import ids, states

__all__ = ('CallRecord',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallRecord:
    """Record that a node keeps of a call.

    Attributes
    ----------
    recorded_at : float
        Unix time in seconds.
    side : RecordSide
        The ingress records the answer that it sent to the caller; the owner
        records what it knows of the run at the backend server.
    team, service : TeamName, ServiceName
        Service of the call; empty when no route matched.
    method, target : bytes
        Request line.
    request_key : RequestKey or None
        Idempotency key.
    outcome : Outcome
        Outcome that was sent to the caller, or that the owner knows.
    status : int
        HTTP status; 0 if there was none.
    reason : RefusalReason or None
        Why the system answered instead of the backend server.
    """

    recorded_at: float
    side: states.RecordSide
    team: ids.TeamName
    service: ids.ServiceName
    method: bytes
    target: bytes
    request_key: ids.RequestKey | None
    outcome: states.Outcome
    status: int
    reason: states.RefusalReason | None
