"""Archive of compiled modules, which shortens the start of a process.

Nothing is imported here, because this package is imported before the archive
is installed.
"""

__all__ = ()
