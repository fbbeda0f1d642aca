"""What became of one request of an experiment."""

import dataclasses

from medlarquay.lab import demand

__all__ = ('LabResult',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LabResult:
    """What became of one request of an experiment.

    Attributes
    ----------
    kind : Demand
        Kind of the request.
    sent_at : float
        When its caller sent it, seconds from the start.
    answered_at : float or None
        When the answer of a server came; None if it was refused or failed.
    runs : int
        How often a server began to run it.
    """

    kind: demand.Demand
    sent_at: float
    answered_at: float | None
    runs: int

    @property
    def earned_worth(self) -> float:
        """Worth of the answer."""
        if self.answered_at is None:
            return 0
        taken = self.answered_at - self.sent_at
        if taken <= self.kind.target_s:
            return self.kind.worth
        return self.kind.late_worth if taken <= self.kind.limit_s else 0
