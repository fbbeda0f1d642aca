"""Fields of one part of a split route in a team document."""

import enum

__all__ = ('SplitField',)


class SplitField(enum.Enum):
    """Fields of one part of a split route in a team's document."""

    SERVICE = 'service'
    WEIGHT = 'weight'
