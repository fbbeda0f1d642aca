"""Pending watch at the stand-in for the platform's store."""

import dataclasses

from medlarquay import ids

__all__ = ('StoreWatch',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreWatch:
    """Pending watch at the stand-in for the platform's store.

    Attributes
    ----------
    caller : CallerId
        Connection that waits for the answer.
    prefix : str
        Prefix of the keys that are watched.
    after : int
        Revision after which events are returned.
    """

    caller: ids.CallerId
    prefix: str
    after: int
