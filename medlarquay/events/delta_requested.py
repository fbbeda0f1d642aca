"""The relay asks for the records newer than a version vector."""

import dataclasses

from medlarquay import replica

__all__ = ('DeltaRequested',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeltaRequested:
    """The relay asks for the records newer than a version vector.

    Attributes
    ----------
    base : replica.VersionVector
        What the child holds.
    """

    base: replica.VersionVector
