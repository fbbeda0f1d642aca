"""The node is to read the source, or to stop."""

import dataclasses

from medlarquay import states

__all__ = ('ReadingChosen',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadingChosen:
    """The node is to read the source, or to stop.

    Attributes
    ----------
    mode : states.ReadingMode
        How often it may read.
    """

    mode: states.ReadingMode
