"""Backend server of a scenario."""

import dataclasses

from medlarquay.lab import period

__all__ = ('Server',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Server:
    """Backend server of a scenario, together with its node.

    Attributes
    ----------
    name, service, data_centre, region : str
        Name of the instance, service that it runs, and its place.
    slots : int
        Number of requests that it runs at the same time.
    slowness : float
        Factor for the service time of every request.
    slow : tuple of Period
        Periods in which the service time is multiplied by a further factor.
    failing : float
        Share of the runs that end with a failure.
    drained : tuple of Period
        Periods in which its node is stopped: it announces draining at the
        start, exits, and accepts work again after the end of the period.
    """

    name: str
    service: str
    data_centre: str
    region: str
    slots: int
    slowness: float = 1
    slow: tuple[period.Period, ...] = ()
    failing: float = 0
    drained: tuple[period.Period, ...] = ()

    def service_time(self, work_s: float, now: float) -> float:
        """Return the service time in seconds of a run that starts now."""
        service_s = work_s * self.slowness
        for span in self.slow:
            if span.covers(now):
                service_s *= span.factor
        return service_s

    def is_drained(self, now: float) -> bool:
        """Return whether the node accepts no work at a time."""
        return any(span.covers(now) for span in self.drained)
