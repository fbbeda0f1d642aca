"""A request at the plain proxy."""

import dataclasses

from medlarquay.testing import http_exchange

__all__ = ('ProxiedCall',)


@dataclasses.dataclass(slots=True, kw_only=True)
class ProxiedCall:
    """A request at the plain proxy.

    Attributes
    ----------
    exchange : HttpExchange
        Request to answer.
    deadline : float
        Reactor time at which the proxy gives up.
    attempts_left : int
        Attempts that may still be made.
    left : bool
        Whether the caller closed its connection.
    """

    exchange: http_exchange.HttpExchange
    deadline: float
    attempts_left: int
    left: bool = False

    def leave(self) -> None:
        """Note that the caller closed its connection."""
        self.left = True
