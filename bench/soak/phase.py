"""Beginning and end of a fault."""

import enum

__all__ = ('Phase',)


class Phase(enum.Enum):
    """Beginning and end of a fault."""

    BEGIN = 'begin'
    END = 'end'
