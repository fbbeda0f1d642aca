"""One value of the source."""

import dataclasses

from medlarquay import ids

__all__ = ('SourceValue',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SourceValue:
    """One value of the source.

    Attributes
    ----------
    key : str
        Key within the tree.
    revision : ids.Revision
        Revision of the last change.
    content : bytes | None
        Value; None when deleted.
    """

    key: str
    revision: ids.Revision
    content: bytes | None
