"""Request of a simulation."""

import dataclasses

from medlarquay import ids
from medlarquay.lab import demand, server

__all__ = ('LabCall',)


@dataclasses.dataclass(slots=True, kw_only=True)
class LabCall:
    """Request of a simulation; all times are simulated, in seconds.

    Attributes
    ----------
    kind : Demand
        Kind of the request.
    sent_at, work_s : float
        Time at which the caller sent it, and its service time at a backend
        server of slowness 1.
    tried : list of InstanceId
        Owners that it was sent to, one for each attempt.
    runs : int
        Number of times a backend server started to run it.
    target : Server or None
        Backend server of the latest attempt.
    attempt_sent_at : float
        Time at which the latest attempt was sent.
    """

    kind: demand.Demand
    sent_at: float
    work_s: float
    tried: list[ids.InstanceId] = dataclasses.field(default_factory=list)
    runs: int = 0
    target: server.Server | None = None
    attempt_sent_at: float = 0

    @property
    def due(self) -> float:
        """Time until which an answer has its full worth."""
        return self.sent_at + self.kind.target_s

    @property
    def deadline(self) -> float:
        """Time at which the caller stops waiting."""
        return self.sent_at + self.kind.limit_s
