"""A child asks its parent for all records newer than what it holds."""

import dataclasses

from medlarquay import ids

__all__ = ('Subscribe',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Subscribe:
    """A child asks its parent for all records newer than what it holds.

    Attributes
    ----------
    tree_revision : ids.Revision
        Highest revision of the settings tree held.
    list_revision : ids.Revision
        Highest revision of the instance list held.
    digest : ids.Digest
        Digest over all records held.
    """

    tree_revision: ids.Revision
    list_revision: ids.Revision
    digest: ids.Digest
