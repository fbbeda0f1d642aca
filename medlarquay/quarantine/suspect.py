"""Crash record of a request that was in flight at a crash."""

import dataclasses

__all__ = ('Suspect',)


@dataclasses.dataclass(slots=True, kw_only=True)
class Suspect:
    """Crash record of a request that was in flight at a crash.

    Attributes
    ----------
    deadline : float
        Time until which the request is suspected, seconds on the monotonic
        clock.
    crashes : set[str]
        Identifiers of the crashes at which it was in flight.
    only_suspect : bool
        Whether it was the only suspect in flight at one of the crashes.
    """

    deadline: float
    crashes: set[str] = dataclasses.field(default_factory=set)
    only_suspect: bool = False
