"""A time span in which a factor holds."""

import dataclasses

__all__ = ('Period',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Period:
    """A time span in which a factor holds.

    Attributes
    ----------
    starts_at, ends_at : float
        Seconds from the start of the scenario.
    factor : float
        Multiplies the rate of a demand or the service time of a server.
    """

    starts_at: float
    ends_at: float
    factor: float = 1

    def covers(self, now: float) -> bool:
        """Return whether a moment lies in the period."""
        return self.starts_at <= now < self.ends_at
