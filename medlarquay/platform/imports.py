"""Imports of a node on the users' platform."""

import sys

__all__ = ('import_node', 'block_tls_import')


def block_tls_import() -> None:
    """Keep Twisted from importing pyOpenSSL.

    Links are plain TCP, and the import would cost 13 MB of memory.
    """
    sys.modules.setdefault('OpenSSL', None)  # type: ignore[arg-type]


def import_node() -> None:
    """Import all modules that a node needs before its first request.

    Notes
    -----
    The settings are checked before this, so that a bad setting is reported
    without the cost of these imports.
    """
    block_tls_import()
    from twisted.internet import reactor  # noqa: F401, PLC0415

    from medlarquay.daemon import node  # noqa: F401, PLC0415
    from medlarquay.platform import (  # noqa: F401, PLC0415
        main,
        node_parts,
        settings_watcher,
    )
