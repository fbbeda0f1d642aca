"""Endpoint of a relayed connection."""

from collections.abc import Callable

from twisted.internet import error, protocol
from twisted.python import failure

__all__ = ('LinkRelayEnd',)


class LinkRelayEnd(protocol.Protocol):
    """Endpoint of a relayed connection; forwards what it receives.

    Parameters
    ----------
    on_connected : callable, optional
        Receives this endpoint when its connection is made.

    Attributes
    ----------
    on_data : callable
        Receives the bytes that arrive from this endpoint; None for its
        orderly close.
    on_reset : callable
        Called when this endpoint resets the connection.
    """

    def __init__(
        self,
        *,
        on_connected: Callable[['LinkRelayEnd'], None] | None = None,
    ) -> None:
        self.on_data: Callable[[bytes | None], None] = _discard
        self.on_reset: Callable[[], None] = _do_nothing
        self._on_connected = on_connected
        self._open = False

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm, which would add to the emulated delay."""
        self._open = True
        self.transport.setTcpNoDelay(True)
        if self._on_connected is not None:
            self._on_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward received bytes."""
        self.on_data(data)

    def connectionLost(  # noqa: N802
        self,
        reason: failure.Failure = protocol.connectionDone,
    ) -> None:
        """Forward the orderly close or the reset."""
        self._open = False
        if reason.check(error.ConnectionDone):
            self.on_data(None)
        else:
            self.on_reset()

    def write(self, data: bytes | None) -> None:
        """Send to this endpoint; None closes it after all earlier bytes."""
        if not self._open:
            return
        if data is None:
            self.transport.loseConnection()
        else:
            self.transport.write(data)

    def set_paused(self, paused: bool) -> None:  # noqa: FBT001
        """Pause or resume reading from this endpoint."""
        if not self._open:
            return
        if paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def abort(self) -> None:
        """Reset this endpoint."""
        if self._open:
            self.transport.abortConnection()


def _discard(data: bytes | None) -> None:
    """Discard data that arrives before the other endpoint is connected."""


def _do_nothing() -> None:
    """Ignore a reset before the other endpoint is connected."""
