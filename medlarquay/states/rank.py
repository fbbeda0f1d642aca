"""Priority class of a request."""

import enum

__all__ = ('Rank',)


class Rank(enum.Enum):
    """Priority class of a request."""

    URGENT = 'urgent'
    NORMAL = 'normal'
    BULK = 'bulk'
