"""Why a message from an owner was dropped."""

import enum

__all__ = ('DroppedMessage',)


class DroppedMessage(enum.Enum):
    """Why a message from an owner was dropped.

    A result is late when the ingress had given up its call before, duplicated
    when the call has finished, and crossed when the call is on another link.
    """

    NO_CALL_ON_LINK = 'no_call_on_link'
    NO_CALL_AT_INGRESS = 'no_call_at_ingress'
