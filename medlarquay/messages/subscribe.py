"""A child asks its parent for all records newer than what it holds."""

import dataclasses

from medlarquay import ids, replica

__all__ = ('Subscribe',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Subscribe:
    """A child asks its parent for all records newer than what it holds.

    Attributes
    ----------
    vector : replica.VersionVector
        Revisions up to which the sender holds every record.
    digest : ids.Digest
        Digest over all records held.
    """

    vector: replica.VersionVector
    digest: ids.Digest
