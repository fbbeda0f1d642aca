"""Modules that a node on the users' platform does without.

Must be used before any library is imported.
"""

import sys
import types

from medlarquay.startup import deferred_module

__all__ = ('skip_unused_modules',)

_DEFERRED = ('ssl', 'http.cookiejar', 'importlib.metadata', 'pickle')


def skip_unused_modules() -> None:
    """Keep libraries from importing modules that no node uses.

    Notes
    -----
    Links are plain TCP, hashes are those of the interpreter, and Twisted runs
    its own reactor. The modules and the shared libraries that they load would
    take 20 MB, pyOpenSSL alone 13 MB. Modules that the operators' pages may
    use are only deferred.
    """
    for absent in ('OpenSSL', '_hashlib'):
        sys.modules.setdefault(absent, None)  # type: ignore[arg-type]
    for deferred in _DEFERRED:
        deferred_module.defer_import(deferred)
    # Twisted names these two types, and tells coroutines apart.
    deferred_module.defer_import(
        'asyncio',
        AbstractEventLoop=types.new_class('AbstractEventLoop'),
        Future=types.new_class('Future'),
        iscoroutine=_is_coroutine,
    )


def _is_coroutine(candidate: object) -> bool:
    return isinstance(candidate, types.CoroutineType)
