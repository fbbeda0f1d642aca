"""Health of the local backend server."""

import enum

__all__ = ('BackendState',)


class BackendState(enum.Enum):
    """Health of the local backend server."""

    UP = 'up'
    DOWN = 'down'
