"""A fault of the soak."""

import dataclasses

__all__ = ('Fault',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A fault of the soak.

    Attributes
    ----------
    at : float
        When it begins, in seconds from the start of the load.
    end : float
        When it ends; at once if not after its beginning.
    name : str
        Instance that it concerns; empty for the source.
    """

    at: float
    end: float = 0
    name: str = ''
