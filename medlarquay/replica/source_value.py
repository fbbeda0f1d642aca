"""Value of the source with its key and revision."""

import dataclasses

from medlarquay import ids

__all__ = ('SourceValue',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SourceValue:
    """Value of the source with its key and revision.

    Attributes
    ----------
    key : str
        Key within the tree.
    revision : ids.Revision
        Revision of the last change.
    content : bytes | None
        Value; None if deleted.
    """

    key: str
    revision: ids.Revision
    content: bytes | None
