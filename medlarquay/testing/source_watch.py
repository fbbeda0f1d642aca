"""Pending watch at the source double."""

import dataclasses

from twisted.internet import interfaces

from medlarquay.testing import http_exchange

__all__ = ('SourceWatch',)


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class SourceWatch:
    """Pending watch: a read of the source that waits for a change.

    Attributes
    ----------
    exchange : HttpExchange
        Request to answer.
    tree : str
        Name of the tree.
    after : int
        Latest revision that the reader has.
    timer : IDelayedCall or None
        Timeout of the watch.
    """

    exchange: http_exchange.HttpExchange
    tree: str
    after: int
    timer: interfaces.IDelayedCall | None = None
