"""Imports of a node on the users' platform."""

import sys

__all__ = ('import_node', 'leave_out_tls')


def leave_out_tls() -> None:
    """Keep twisted from importing pyOpenSSL.

    Links are plain TCP, and the import would cost 13 MB.
    """
    sys.modules.setdefault('OpenSSL', None)  # type: ignore[arg-type]


def import_node() -> None:
    """Import all that a node needs before its first request.

    Notes
    -----
    The settings are checked before, so that a bad one is reported without
    the cost of these imports.
    """
    leave_out_tls()
    from twisted.internet import reactor  # noqa: F401, PLC0415

    from medlarquay.daemon import node  # noqa: F401, PLC0415
    from medlarquay.platform import (  # noqa: F401, PLC0415
        main,
        node_parts,
        settings_watcher,
    )
