"""Build the archive of the modules that a node imports at its start.

Run as ``python3 -m medlarquay.startup.build ARCHIVE``.
"""

import pathlib
import sys
import types

from medlarquay.startup import generated_code, pack, unused_modules

__all__ = ('run',)

# Modules that only the build loads, or that differ in the node process.
_EXCLUDED = frozenset(('__main__', 'medlarquay', 'medlarquay.startup'))


def run() -> None:
    """Import all modules of a node and write them to the archive."""
    compiler = generated_code.RecordingCompiler()
    generated_code.install(compiler)
    _import_node()
    modules = [
        module
        for name, module in sorted(sys.modules.items())
        if _is_packed(name, module)
    ]
    target = pathlib.Path(sys.argv[1])
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_bytes(pack.pack_modules(modules, generated=compiler.codes))


def _import_node() -> None:
    """Import all modules that a node needs before its first request."""
    unused_modules.skip_unused_modules()
    from twisted.internet import reactor  # noqa: F401, PLC0415

    from medlarquay.daemon import node  # noqa: F401, PLC0415
    from medlarquay.platform import (  # noqa: F401, PLC0415
        main,
        node_parts,
        settings_watcher,
    )


def _is_packed(name: str, module: object) -> bool:
    # sys.modules may also hold None or an object, such as the reactor.
    is_included = isinstance(module, types.ModuleType) and name not in _EXCLUDED
    return is_included and not name.startswith('medlarquay.startup')


if __name__ == '__main__':
    run()
