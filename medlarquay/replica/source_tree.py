"""Trees of the source."""

import enum

__all__ = ('SourceTree',)


class SourceTree(enum.Enum):
    """Trees of the source, by their name in its protocol."""

    TEAMS = 'teams'
    INSTANCES = 'instances'
