"""Archive of compiled modules."""

import marshal
import sys
import types
from collections.abc import Iterable, Sequence
from importlib import machinery
from importlib import util as importlib_util

__all__ = ('ArchiveFinder', 'install_archive', 'pack_modules')

# Name, file, directory of submodules (empty for a plain module) and code.
_Entry = tuple[str, str, str, types.CodeType]


class ArchiveFinder:
    """Finds and loads the modules of an archive.

    Parameters
    ----------
    entries : iterable of tuple
        Modules of the archive.

    Notes
    -----
    A start reads 800 modules. Each costs about twenty system calls through
    the usual finders, and none through this one.
    """

    def __init__(self, *, entries: Iterable[_Entry]) -> None:
        self._entries = {entry[0]: entry for entry in entries}

    def find_spec(
        self,
        name: str,
        path: Sequence[str] | None = None,
        target: types.ModuleType | None = None,
    ) -> machinery.ModuleSpec | None:
        """Return the spec of a module of the archive; None for others."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        _, origin, directory, _ = entry
        spec = machinery.ModuleSpec(
            name,
            self,  # type: ignore[arg-type]
            origin=origin,
            is_package=bool(directory),
        )
        spec.has_location = True
        if directory:
            # Modules that are not in the archive are still found there.
            spec.submodule_search_locations = [directory]
        return spec

    def create_module(self, spec: machinery.ModuleSpec) -> None:
        """Leave the creation of the module to the import system."""

    def exec_module(self, module: types.ModuleType) -> None:
        """Run the code of a module, which the archive needs no more."""
        _, _, _, code = self._entries.pop(module.__name__)
        exec(code, module.__dict__)  # noqa: S102, WPS421


def pack_modules(modules: Iterable[types.ModuleType]) -> bytes:
    """Return the archive of those modules that have source files."""
    entries = [
        entry for module in modules if (entry := _entry_of(module)) is not None
    ]
    return importlib_util.MAGIC_NUMBER + marshal.dumps(entries)


def install_archive(path: str) -> bool:
    """Import from an archive from now on; return whether it is usable.

    An archive that is missing, or was made by another release of Python, is
    left alone: the modules are then found as usual.
    """
    try:
        with open(path, 'rb') as archive:  # noqa: PTH123, WPS515
            content = archive.read()
    except OSError:
        return False
    magic = importlib_util.MAGIC_NUMBER
    if not content.startswith(magic):
        return False
    entries = marshal.loads(content[len(magic) :])  # noqa: S302
    finder = ArchiveFinder(entries=entries)
    sys.meta_path.insert(0, finder)
    return True


def _entry_of(module: types.ModuleType) -> _Entry | None:
    spec = module.__spec__
    origin = None if spec is None else spec.origin
    if spec is None or origin is None or not origin.endswith('.py'):
        return None
    if not isinstance(spec.loader, machinery.SourceFileLoader):
        return None
    code = spec.loader.get_code(spec.name)
    if code is None:
        return None
    places = spec.submodule_search_locations
    return spec.name, origin, places[0] if places else '', code
