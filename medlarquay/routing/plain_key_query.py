"""Query for the home of a plain key."""

import dataclasses

from medlarquay import keys, replica

__all__ = ('PlainKeyQuery',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlainKeyQuery:
    """Query for the home of a plain key, which its caller generated.

    Attributes
    ----------
    key : PlainKey
        Idempotency key of the call.
    backends : tuple of InstanceRecord
        All backend servers of the service, live and leaving.
    """

    key: keys.PlainKey
    backends: tuple[replica.InstanceRecord, ...]
