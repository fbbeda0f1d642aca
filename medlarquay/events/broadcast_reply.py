"""Send a message on every link that ingresses opened to this node."""

import dataclasses

from medlarquay import messages

__all__ = ('BroadcastReply',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BroadcastReply:
    """Send a message on every link that ingresses opened to this node.

    Attributes
    ----------
    message : messages.Draining
        Message.
    """

    message: messages.Draining
