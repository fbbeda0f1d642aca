"""Send a message to the owner on another node that expects no answer."""

import dataclasses

from medlarquay import ids, messages

__all__ = ('SendNotice',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendNotice:
    """Send a message to the owner on another node that expects no answer.

    Attributes
    ----------
    instance : ids.InstanceId
        Owner.
    host : str
        IP address of its node.
    port : int
        Peer port of its node.
    message : messages.CrashSuspected | messages.SuspicionCleared
        Message.
    """

    instance: ids.InstanceId
    host: str
    port: int
    message: messages.CrashSuspected | messages.SuspicionCleared
