"""One archive of compiled modules, which shortens the start of a process.

Nothing is imported here, since this package is imported before the archive
is in use.
"""

__all__ = ()
