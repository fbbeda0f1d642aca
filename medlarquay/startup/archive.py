"""Archive of compiled modules and its import finder."""

import marshal
import os
import sys
import types
from collections.abc import Mapping, Sequence
from importlib import machinery
from importlib import util as importlib_util

from medlarquay.startup import archive_entry, generated_code

__all__ = ('HEADER_BYTES', 'ArchiveFinder', 'install_archive')

#: Length of the field with the length of the index, in bytes.
HEADER_BYTES = 4


class ArchiveFinder:
    """Import finder and loader for the modules of an archive.

    Parameters
    ----------
    descriptor : int
        Open file of the archive.
    start : int
        Position of the first module in the file, in bytes.
    entries : mapping of str to ArchiveEntry
        Places of the modules by their names.

    Notes
    -----
    A node imports 800 modules at its start. Each costs about twenty system
    calls with the default finders, and one with this one. Each module is read
    by itself, since the buffer for all of them would be the peak of the memory
    of a process that has just started.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        start: int,
        entries: Mapping[str, archive_entry.ArchiveEntry],
    ) -> None:
        self._descriptor = descriptor
        self._start = start
        self._entries = dict(entries)

    def find_spec(
        self,
        name: str,
        path: Sequence[str] | None = None,
        target: types.ModuleType | None = None,
    ) -> machinery.ModuleSpec | None:
        """Return the spec of a module; None if it is not in the archive."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        spec = machinery.ModuleSpec(
            name,
            self,  # type: ignore[arg-type]
            origin=entry.origin,
            is_package=bool(entry.directory),
        )
        spec.has_location = True
        if entry.directory:
            # Lets the default finders find submodules that are not archived.
            spec.submodule_search_locations = [entry.directory]
        return spec

    def create_module(self, spec: machinery.ModuleSpec) -> None:
        """Leave the creation of the module to the import system."""

    def exec_module(self, module: types.ModuleType) -> None:
        """Execute the code of a module and drop it from the archive."""
        entry = self._entries.pop(module.__name__)
        content = os.pread(
            self._descriptor, entry.length, self._start + entry.offset
        )
        code = marshal.loads(content)  # noqa: S302
        exec(code, module.__dict__)  # noqa: S102, WPS421


def install_archive(path: str) -> bool:
    """Import modules from an archive from now on.

    An archive that is missing or was built by another release of Python is
    ignored; the default finders then find the modules.

    Parameters
    ----------
    path : str
        File that ``pack.pack_modules`` filled.

    Returns
    -------
    bool
        Whether the archive is in use.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return False
    magic = importlib_util.MAGIC_NUMBER
    header = os.read(descriptor, len(magic) + HEADER_BYTES)
    if not header.startswith(magic) or len(header) < len(magic) + HEADER_BYTES:
        os.close(descriptor)
        return False
    index_bytes = int.from_bytes(header[len(magic) :], 'big')
    index, generated = marshal.loads(  # noqa: S302
        os.read(descriptor, index_bytes)
    )
    generated_code.install(generated)
    finder = ArchiveFinder(
        descriptor=descriptor,
        start=len(header) + index_bytes,
        entries={
            name: archive_entry.ArchiveEntry(*fields)
            for name, fields in index.items()
        },
    )
    sys.meta_path.insert(0, finder)
    return True
