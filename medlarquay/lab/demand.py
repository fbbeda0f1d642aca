"""Kind of request in a scenario."""

import dataclasses

from medlarquay import states
from medlarquay.lab import period

__all__ = ('Demand',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Kind of request in a scenario: its rate, work and worth.

    Attributes
    ----------
    name, service : str
        Name of the kind, and service that runs its requests.
    rank : Rank
        Priority class.
    per_second : float
        Requests per second over all ingresses, outside of bursts.
    work_s : float
        Mean service time in seconds at a backend server of slowness 1; that of
        a single request differs from it by up to half.
    target_s, limit_s : float
        Seconds after which an answer is worth less, and after which the
        caller gives up.
    worth, late_worth : float
        Worth of an answer within ``target_s``, and of a later one within
        ``limit_s``.
    idempotent : bool
        Whether the request may be sent again after a failed run.
    bursts : tuple of Period
        Periods in which the rate is multiplied.
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
        """Return the requests per second at a time."""
        per_second = self.per_second
        for burst in self.bursts:
            if burst.covers(now):
                per_second *= burst.factor
        return per_second
