"""Lifecycle of a node."""

import enum

__all__ = ('NodeState',)


class NodeState(enum.Enum):
    """Lifecycle of a node."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'
    FLUSHING = 'flushing'
    STOPPED = 'stopped'
