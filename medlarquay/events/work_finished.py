"""A part of a draining node has no work left."""

import dataclasses

from medlarquay import states

__all__ = ('WorkFinished',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkFinished:
    """A part of a draining node has no work left.

    Attributes
    ----------
    part : states.NodePart
        Part that has finished.
    """

    part: states.NodePart
