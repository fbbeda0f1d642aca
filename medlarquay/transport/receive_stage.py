"""Which part of a request is being received."""

import enum

__all__ = ('ReceiveStage',)


class ReceiveStage(enum.Enum):
    """Which part of a request is being received."""

    IDLE = 'idle'
    HEADER = 'header'
    BODY = 'body'
