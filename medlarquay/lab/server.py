"""One backend server of a scenario."""

import dataclasses

from medlarquay.lab import period

__all__ = ('Server',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Server:
    """One backend server of a scenario and the node beside it.

    Attributes
    ----------
    name, service, data_centre, region : str
        What it is and where it stands.
    slots : int
        Requests that it runs at once.
    slowness : float
        Multiplies the service time of every request.
    slow : tuple of Period
        Times at which the service time is multiplied further.
    failing : float
        Share of the runs that end with a failure.
    drained : tuple of Period
        Times at which its node is stopped: it announces draining at the
        start, ends, and takes work again afterwards.
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
        """Return the seconds that a run takes if it starts now."""
        found = work_s * self.slowness
        for span in self.slow:
            if span.covers(now):
                found *= span.factor
        return found

    def is_drained(self, now: float) -> bool:
        """Return whether the node takes no work at a moment."""
        return any(span.covers(now) for span in self.drained)
