"""Factories that build protocols from a plain function."""

from collections.abc import Callable

from twisted.internet import protocol

__all__ = ('BuildingFactory',)


class BuildingFactory(protocol.Factory):
    """Builds each protocol with a given function.

    Parameters
    ----------
    build : callable
        Returns a new protocol.
    """

    noisy = False

    def __init__(self, *, build: Callable[[], protocol.Protocol]) -> None:
        self._build = build

    def buildProtocol(self, addr: object) -> protocol.Protocol:  # noqa: N802
        """Return the protocol for one connection."""
        return self._build()
