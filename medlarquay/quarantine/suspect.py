"""A fingerprint that was in flight at a crash."""

import dataclasses

__all__ = ('Suspect',)


@dataclasses.dataclass(slots=True, kw_only=True)
class Suspect:
    """A fingerprint that was in flight at a crash.

    Attributes
    ----------
    deadline : float
        Until when it is suspected, seconds on the monotonic clock.
    crashes : set[str]
        Distinct crashes.
    alone : bool
        Whether it was the only suspect in flight at one of them.
    """

    deadline: float
    crashes: set[str] = dataclasses.field(default_factory=set)
    alone: bool = False
