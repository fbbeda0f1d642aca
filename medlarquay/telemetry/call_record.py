"""What a node recorded of one call."""

import dataclasses

from medlarquay import ids, states

__all__ = ('CallRecord',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallRecord:
    """What a node recorded of one call.

    Attributes
    ----------
    recorded_at : float
        Unix time in seconds.
    side : RecordSide
        The ingress records what the caller was told; the owner records what
        it knows of the run.
    team, service : TeamName, ServiceName
        Service of the call; empty when no route matched.
    method, target : bytes
        Request line.
    request_key : RequestKey or None
        Idempotency key.
    outcome : Outcome
        What the caller was told, or what the owner knows.
    status : int
        HTTP status; 0 when there was none.
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
