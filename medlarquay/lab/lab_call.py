"""A request on its way through the model."""

import dataclasses

from medlarquay import ids
from medlarquay.lab import demand, server

__all__ = ('LabCall',)


@dataclasses.dataclass(slots=True, kw_only=True)
class LabCall:
    """A request on its way through the model.

    Attributes
    ----------
    kind : Demand
        Kind of the request.
    sent_at, work_s : float
        When its caller sent it, and its seconds at a server of speed 1.
    tried : list of InstanceId
        Owners that it was sent to.
    runs : int
        How often a server began to run it.
    target : Server or None
        Server of the present attempt.
    attempt_sent_at : float
        When the present attempt was sent.
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
        """Time by which an answer is worth most."""
        return self.sent_at + self.kind.target_s

    @property
    def deadline(self) -> float:
        """Time at which the caller stops waiting."""
        return self.sent_at + self.kind.limit_s
