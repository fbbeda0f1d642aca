"""Numbers of the message types on links between nodes."""

import enum

__all__ = ('MessageType',)


class MessageType(enum.IntEnum):
    """Numbers of the message types on links between nodes."""

    HELLO = 1
    CALL_REQUEST = 2
    CALL_CANCEL = 3
    CALL_ANSWERED = 4
    CALL_REFUSED = 5
    CALL_UNKNOWN = 6
    DRAINING = 7
    CRASH_SUSPECTED = 8
    SUSPICION_CLEARED = 9
    CALL_OFFERED = 10
    CALL_GRANTED = 11
    SUBSCRIBE = 20
    FETCH_ALL = 21
    RECORDS = 22
    PROBE = 23
    HEARTBEAT = 24
