"""Send a one-way message to the owner on another node."""

import dataclasses

from medlarquay import ids, messages

__all__ = ('SendNotice',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendNotice:
    """Send a one-way message to the owner on another node.

    Attributes
    ----------
    instance : ids.InstanceId
        Instance of the owner.
    host : str
        IP address of its node.
    port : int
        Peer port of its node.
    message : messages.CrashSuspected | messages.SuspicionCleared
        Message; no answer is expected.
    """

    instance: ids.InstanceId
    host: str
    port: int
    message: messages.CrashSuspected | messages.SuspicionCleared
