"""Send the result of a call back on the link it came from."""

import dataclasses

from medlarquay import ids, messages, pacing

__all__ = ('SendReply',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendReply:
    """Send the result of a call back on the link it came from.

    Attributes
    ----------
    link : ids.LinkId
        Link of the call.
    message : CallAnswered, CallRefused or CallUnknown
        Result of the call.
    request_id : str
        Id of the request for logs; empty if it has none.
    urgency : pacing.Urgency
        Rank and times that order large results on the link.
    """

    link: ids.LinkId
    message: messages.CallAnswered | messages.CallRefused | messages.CallUnknown
    request_id: str = ''
    urgency: pacing.Urgency = pacing.NO_DEADLINE
