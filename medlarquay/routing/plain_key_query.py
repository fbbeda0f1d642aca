"""A call whose key was made by its caller."""

import dataclasses

from medlarquay import keys, replica

__all__ = ('PlainKeyQuery',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlainKeyQuery:
    """A call whose key was made by its caller.

    Attributes
    ----------
    key : PlainKey
        Key.
    backends : tuple of InstanceRecord
        All backend servers of the service, live and leaving.
    """

    key: keys.PlainKey
    backends: tuple[replica.InstanceRecord, ...]
