"""Requests of one kind."""

import dataclasses

from medlarquay import states
from medlarquay.lab import period

__all__ = ('Demand',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Requests of one kind.

    Attributes
    ----------
    name, service : str
        Name of the kind, and the service that runs it.
    rank : Rank
        Priority class.
    per_second : float
        Usual rate over all ingresses.
    work_s : float
        Mean seconds at a server of speed 1; single requests vary by half.
    target_s, limit_s : float
        Seconds until an answer is worth less, and until nobody waits.
    worth, late_worth : float
        Worth of an answer within the target, and of a later one.
    idempotent : bool
        Whether a failed request may be sent again.
    bursts : tuple of Period
        Times at which the rate is multiplied.
    """

    name: str
    service: str
    rank: states.Rank
    per_second: float
    work_s: float
    target_s: float
    limit_s: float
    worth: float
    late_worth: float
    idempotent: bool = True
    bursts: tuple[period.Period, ...] = ()

    def rate(self, now: float) -> float:
        """Return the requests a second at a moment."""
        found = self.per_second
        for burst in self.bursts:
            if burst.covers(now):
                found *= burst.factor
        return found
