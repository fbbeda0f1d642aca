"""Builds the archive of the modules that a node imports at its start.

Run as ``python3 -m medlarquay.startup.build ARCHIVE``.
"""

import pathlib
import sys
import types

from medlarquay.platform import imports
from medlarquay.startup import archive

__all__ = ('run',)

# Loaded for the build itself, or different in the process that runs later.
_NOT_PACKED = frozenset(('__main__', 'medlarquay', 'medlarquay.startup'))


def run() -> None:
    """Write the archive."""
    imports.import_node()
    modules = [
        module
        for name, module in sorted(sys.modules.items())
        if _is_packed(name, module)
    ]
    target = pathlib.Path(sys.argv[1])
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_bytes(archive.pack_modules(modules))


def _is_packed(name: str, module: object) -> bool:
    # Some names stand for None or for an object, such as the reactor.
    known = isinstance(module, types.ModuleType) and name not in _NOT_PACKED
    return known and not name.startswith('medlarquay.startup')


if __name__ == '__main__':
    run()
