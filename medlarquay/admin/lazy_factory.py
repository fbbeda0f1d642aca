"""Protocol factory that is built when the first connection arrives."""

from collections.abc import Callable

from twisted.internet import interfaces, protocol

__all__ = ('LazyFactory',)


class LazyFactory(protocol.Factory):
    """Delegates to a factory that is built when the first connection arrives.

    Parameters
    ----------
    build : callable
        Builds the factory to delegate to; called once.
    """

    noisy = False

    def __init__(
        self,
        *,
        build: Callable[[], interfaces.IProtocolFactory],
    ) -> None:
        self._build = build
        self._factory: interfaces.IProtocolFactory | None = None

    def buildProtocol(  # noqa: N802
        self,
        addr: interfaces.IAddress,
    ) -> interfaces.IProtocol | None:
        """Return the protocol for one connection."""
        if self._factory is None:
            self._factory = self._build()
        return self._factory.buildProtocol(addr)
