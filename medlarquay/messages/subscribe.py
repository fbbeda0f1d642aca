"""A child subscribes to all records of its parent newer than its own."""

import dataclasses

from medlarquay import ids, replica

__all__ = ('Subscribe',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Subscribe:
    """A child subscribes to all records of its parent newer than its own.

    Attributes
    ----------
    vector : replica.VersionVector
        Revisions up to which the sender holds every record.
    digest : ids.Digest
        Digest over all of the sender's records.
    """

    vector: replica.VersionVector
    digest: ids.Digest
