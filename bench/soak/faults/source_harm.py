"""Harm to the source."""

import enum

__all__ = ('SourceHarm',)


class SourceHarm(enum.Enum):
    """Harm to the source."""

    DOWN = 'down'
    SLOW = 'slow'
    STALE = 'stale'
    LATE_LIST = 'late_list'
    SILENT = 'silent'
    RESET = 'reset'
