"""Why a parent is not followed."""

import enum

__all__ = ('ParentFault',)


class ParentFault(enum.Enum):
    """Why a parent is not followed."""

    CLOSED = 'closed'
    SILENT = 'silent'
    BEHIND = 'behind'
    EMPTY = 'empty'
    NOT_FRESH = 'not_fresh'
    MALFORMED = 'malformed'
