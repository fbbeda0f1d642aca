"""A request for a key that waits for the incarnation of an owner."""

import dataclasses

from medlarquay import events, ids, snapshots

__all__ = ('KeyWait',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyWait:
    """A request for a key that waits for the incarnation of an owner.

    Attributes
    ----------
    message : RequestReceived
        Request of the caller.
    service : Service
        Service that the key is for.
    instance : InstanceId
        Owner that the key will be bound to once its incarnation is known.
    deadline : float
        End of the wait, seconds on the monotonic clock.
    """

    message: events.RequestReceived
    service: snapshots.Service
    instance: ids.InstanceId
    deadline: float
