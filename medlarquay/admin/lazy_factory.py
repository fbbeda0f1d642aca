"""A factory that is built when the first connection arrives."""

from collections.abc import Callable

from twisted.internet import interfaces, protocol

__all__ = ('LazyFactory',)


class LazyFactory(protocol.Factory):
    """Builds the real factory when the first connection arrives.

    Parameters
    ----------
    build : callable
        Returns the real factory.
    """

    noisy = False

    def __init__(
        self,
        *,
        build: Callable[[], interfaces.IProtocolFactory],
    ) -> None:
        self._build = build
        self._built: interfaces.IProtocolFactory | None = None

    def buildProtocol(  # noqa: N802
        self,
        addr: interfaces.IAddress,
    ) -> interfaces.IProtocol | None:
        """Return the protocol for one connection."""
        if self._built is None:
            self._built = self._build()
        return self._built.buildProtocol(addr)
