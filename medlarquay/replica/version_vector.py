"""Revisions of both trees up to which a node holds every record."""

import dataclasses

from medlarquay import ids

__all__ = ('VersionVector',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionVector:
    """Revisions of both trees up to which a node holds every record.

    Attributes
    ----------
    tree_revision : ids.Revision
        Revision of the settings tree.
    list_revision : ids.Revision
        Revision of the instance list.
    """

    tree_revision: ids.Revision = ids.Revision(0)
    list_revision: ids.Revision = ids.Revision(0)

    def covers(self, other: 'VersionVector') -> bool:
        """Return whether no revision of the other vector is newer."""
        return (
            self.tree_revision >= other.tree_revision
            and self.list_revision >= other.list_revision
        )

    def join(self, other: 'VersionVector') -> 'VersionVector':
        """Return the least vector that covers both."""
        return VersionVector(
            tree_revision=max(self.tree_revision, other.tree_revision),
            list_revision=max(self.list_revision, other.list_revision),
        )
