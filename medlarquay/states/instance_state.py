"""State of an instance in the instance list."""

import enum

__all__ = ('InstanceState',)


class InstanceState(enum.Enum):
    """State of an instance in the instance list."""

    LIVE = 'live'
    LEAVING = 'leaving'
