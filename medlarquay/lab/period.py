"""Period of a scenario in which a factor applies."""

import dataclasses

__all__ = ('Period',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Period:
    """Period of a scenario in which a factor applies.

    Attributes
    ----------
    starts_at, ends_at : float
        Start and end, in seconds from the start of the scenario; the end is
        not included.
    factor : float
        Factor for the rate of a demand or the service time of a server.
    """

    starts_at: float
    ends_at: float
    factor: float = 1

    def covers(self, now: float) -> bool:
        """Return whether a time lies in the period."""
        return self.starts_at <= now < self.ends_at
