"""Result of one simulated request."""

import dataclasses

from medlarquay.lab import demand

__all__ = ('LabResult',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LabResult:
    """Result of one simulated request.

    Attributes
    ----------
    kind : Demand
        Kind of the request.
    sent_at : float
        Time at which the caller sent it, in seconds from the start.
    answered_at : float or None
        Time at which the ingress had the answer, in seconds from the start;
        None if the request was refused or failed.
    runs : int
        Number of times a backend server started to run it.
    """

    kind: demand.Demand
    sent_at: float
    answered_at: float | None
    runs: int

    @property
    def earned_worth(self) -> float:
        """Worth of the answer: full, reduced if late, or 0."""
        if self.answered_at is None:
            return 0
        latency_s = self.answered_at - self.sent_at
        if latency_s <= self.kind.target_s:
            return self.kind.worth
        return self.kind.late_worth if latency_s <= self.kind.limit_s else 0
