"""Why a message from an owner was dropped."""

import enum

__all__ = ('DroppedMessage',)


class DroppedMessage(enum.Enum):
    """Why a message from an owner was dropped.

    No call waits for the message on its link, or none at the ingress: it is
    late (the ingress had given up its call before), a duplicate (the call has
    finished) or crossed (the call is on another link).
    """

    NO_CALL_ON_LINK = 'no_call_on_link'
    NO_CALL_AT_INGRESS = 'no_call_at_ingress'
