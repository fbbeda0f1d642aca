"""A request of a caller for a new request key."""

import dataclasses

from medlarquay import events, snapshots

__all__ = ('KeyRequest',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyRequest:
    """A request of a caller for a new request key.

    Attributes
    ----------
    message : RequestReceived
        Request of the caller.
    service : Service
        Service that the key is for.
    """

    message: events.RequestReceived
    service: snapshots.Service
