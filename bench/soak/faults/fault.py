"""Base class of the faults that a soak injects."""

import dataclasses

__all__ = ('Fault',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """Base class of the faults that a soak injects.

    Attributes
    ----------
    at : float
        Time of its start, in seconds from the start of the load.
    end : float
        Time of its end; a value not after ``at`` ends it at once.
    name : str
        Name of the affected instance; empty for the source.
    """

    at: float
    end: float = 0
    name: str = ''
