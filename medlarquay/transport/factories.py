"""Protocol factory that calls a given function for each connection."""

from collections.abc import Callable

from twisted.internet import protocol

__all__ = ('BuildingFactory',)


class BuildingFactory(protocol.Factory):
    """Builds the protocol of each connection with a given function.

    Parameters
    ----------
    build : callable
        Returns a new protocol.
    """

    noisy = False

    def __init__(self, *, build: Callable[[], protocol.Protocol]) -> None:
        self._build = build

    def buildProtocol(self, addr: object) -> protocol.Protocol:  # noqa: N802
        """Return a new protocol for one connection."""
        return self._build()
