"""Side of a call that a record describes."""

import enum

__all__ = ('RecordSide',)


class RecordSide(enum.Enum):
    """Side of a call that a record describes."""

    INGRESS = 'ingress'
    OWNER = 'owner'
