"""Copy and insert instruction that builds part of a document."""

import dataclasses

__all__ = ('ContentEdit',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ContentEdit:
    """Copy and insert instruction that builds part of a document.

    Attributes
    ----------
    start, length : int
        Range of the base document that is copied, in bytes.
    inserted : bytes
        Bytes that follow the copied range.
    """

    start: int
    length: int
    inserted: bytes
