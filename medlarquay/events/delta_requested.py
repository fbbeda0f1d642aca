"""Request of the relay for the records newer than a version vector."""

import dataclasses

from medlarquay import replica

__all__ = ('DeltaRequested',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeltaRequested:
    """Request of the relay for the records newer than a version vector.

    Attributes
    ----------
    base : replica.VersionVector
        Revisions up to which the child holds every record.
    """

    base: replica.VersionVector
