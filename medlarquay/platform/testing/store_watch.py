"""A watch that waits at the stand-in of the platform's store."""

import dataclasses

from medlarquay import ids

__all__ = ('StoreWatch',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreWatch:
    """A watch that waits at the stand-in of the platform's store.

    Attributes
    ----------
    caller : CallerId
        Connection that waits.
    prefix : str
        Keys that are watched begin with it.
    after : int
        Revision after which events are wanted.
    """

    caller: ids.CallerId
    prefix: str
    after: int
