"""How the stand-in of the platform's store misbehaves."""

import enum

__all__ = ('StoreFault',)


class StoreFault(enum.Enum):
    """How the stand-in of the platform's store misbehaves."""

    NONE = 'none'
    SILENT = 'silent'
    BUSY = 'busy'
