"""Entry of an archive of modules."""

from typing import NamedTuple

__all__ = ('ArchiveEntry',)


class ArchiveEntry(NamedTuple):
    """Place of the code of one module in an archive.

    Attributes
    ----------
    origin : str
        Source file of the module.
    directory : str
        Directory of its submodules; empty for a plain module.
    offset, length : int
        Position of its marshalled code, in bytes after the index.
    """

    origin: str
    directory: str
    offset: int
    length: int
