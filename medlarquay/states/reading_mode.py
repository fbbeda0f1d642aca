"""How often a node may read the source."""

import enum

__all__ = ('ReadingMode',)


class ReadingMode(enum.Enum):
    """How often a node may read the source."""

    NONE = 'none'
    #: Reads only the instance list, rarely and at a random phase, to find
    #: peers.
    ISOLATED = 'isolated'
    #: Reads some entries of the instance list, to find a first parent.
    DISCOVERING = 'discovering'
    #: Watches both trees on behalf of a region.
    READER = 'reader'
