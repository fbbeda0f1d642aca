"""A caller that waits for a new request key."""

import dataclasses

from medlarquay import events, ids, snapshots

__all__ = ('KeyWait',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyWait:
    """A caller that waits for a new request key.

    Attributes
    ----------
    message : RequestReceived
        Request for the key.
    service : Service
        Service that the key is for.
    instance : InstanceId
        Owner that the key will be bound to, once its run is known.
    deadline : float
        Seconds on the monotonic clock.
    """

    message: events.RequestReceived
    service: snapshots.Service
    instance: ids.InstanceId
    deadline: float
