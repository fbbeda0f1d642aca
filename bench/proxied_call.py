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
        When the proxy stops trying, seconds of the reactor clock.
    attempts_left : int
        Remaining number of attempts.
    caller_gone : bool
        Whether the caller closed its connection.
    """

    exchange: http_exchange.HttpExchange
    deadline: float
    attempts_left: int
    caller_gone: bool = False

    def mark_caller_gone(self) -> None:
        """Record that the caller closed its connection."""
        self.caller_gone = True
