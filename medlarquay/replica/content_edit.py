"""One step in which a document is built from another one."""

import dataclasses

__all__ = ('ContentEdit',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ContentEdit:
    """One step in which a document is built from another one.

    Attributes
    ----------
    start, length : int
        Range of the other document that is copied, in bytes.
    inserted : bytes
        What follows the copy.
    """

    start: int
    length: int
    inserted: bytes
