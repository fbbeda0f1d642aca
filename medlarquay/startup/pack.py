"""Packing of modules into an archive."""

import marshal
import types
from collections.abc import Iterable, Mapping
from importlib import machinery
from importlib import util as importlib_util

from medlarquay.startup import (
    archive,
    archive_entry,
    compact_code,
    short_docs,
)

__all__ = ('pack_modules',)

# Leaves out docstrings, which no program of the node reads, and assertions.
_OPTIMIZATION = 2
_OWN_PACKAGE = 'medlarquay'


def pack_modules(
    modules: Iterable[types.ModuleType],
    *,
    generated: Mapping[int, tuple[types.CodeType, int]],
) -> bytes:
    """Return an archive of the modules that have a source file.

    Parameters
    ----------
    modules : iterable of ModuleType
        Imported modules.
    generated : Mapping
        Code of the generated methods of dataclasses, as recorded.

    Returns
    -------
    bytes
        Magic number of the bytecode of this release of Python, the length of
        the index, the index with the generated code, and the marshalled code
        of each module.
    """
    index: dict[str, tuple[object, ...]] = {}
    packed = bytearray()
    for module in modules:
        spec = module.__spec__
        code = None if spec is None else _compile(spec)
        if spec is None or code is None:
            continue
        marshalled = marshal.dumps(code)
        entry = archive_entry.ArchiveEntry(
            origin=spec.origin or '',
            directory=next(iter(spec.submodule_search_locations or ()), ''),
            offset=len(packed),
            length=len(marshalled),
        )
        index[spec.name] = tuple(entry)
        packed += marshalled
    packed_index = marshal.dumps((index, dict(generated)))
    length = len(packed_index).to_bytes(archive.HEADER_BYTES, 'big')
    return b''.join((importlib_util.MAGIC_NUMBER, length, packed_index, packed))


def _compile(spec: machinery.ModuleSpec) -> types.CodeType | None:
    origin = spec.origin
    loader = spec.loader
    if origin is None or not origin.endswith('.py'):
        return None
    if not isinstance(loader, machinery.SourceFileLoader):
        return None
    source = loader.get_data(origin)
    if spec.name.partition('.')[0] == _OWN_PACKAGE:
        # Tracebacks of our own code state exact lines.
        return short_docs.compile_source(source, origin)
    code = compile(  # noqa: WPS421
        source, origin, 'exec', dont_inherit=True, optimize=_OPTIMIZATION
    )
    return compact_code.without_positions(code)
