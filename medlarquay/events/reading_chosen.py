"""Start or stop reading the source."""

import dataclasses

from medlarquay import states

__all__ = ('ReadingChosen',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadingChosen:
    """Start or stop reading the source.

    Attributes
    ----------
    mode : states.ReadingMode
        How often the node may read.
    """

    mode: states.ReadingMode
