"""One end of a relayed connection."""

from collections.abc import Callable

from twisted.internet import error, protocol
from twisted.python import failure

__all__ = ('LinkRelayEnd',)


class LinkRelayEnd(protocol.Protocol):
    """Passes on what one end of a relayed connection sends.

    Attributes
    ----------
    take : callable
        Receives what this end sends; None for its orderly close.
    lost : callable
        Called when this end was reset.
    """

    def __init__(
        self,
        *,
        made: Callable[['LinkRelayEnd'], None] | None = None,
    ) -> None:
        self.take: Callable[[bytes | None], None] = _ignore
        self.lost: Callable[[], None] = _nothing
        self._made = made
        self._open = False

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm, which would add delay of its own."""
        self._open = True
        self.transport.setTcpNoDelay(True)
        if self._made is not None:
            self._made(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on what this end sent."""
        self.take(data)

    def connectionLost(  # noqa: N802
        self,
        reason: failure.Failure = protocol.connectionDone,
    ) -> None:
        """Pass on the end of the connection."""
        self._open = False
        if reason.check(error.ConnectionDone):
            self.take(None)
        else:
            self.lost()

    def write(self, content: bytes | None) -> None:
        """Send to this end; None closes it after what was sent."""
        if not self._open:
            return
        if content is None:
            self.transport.loseConnection()
        else:
            self.transport.write(content)

    def limit(self, limited: bool) -> None:  # noqa: FBT001
        """Stop or resume reading from this end."""
        if not self._open:
            return
        if limited:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def abort(self) -> None:
        """Reset this end."""
        if self._open:
            self.transport.abortConnection()


def _ignore(content: bytes | None) -> None:
    """Take nothing before the other end is connected."""


def _nothing() -> None:
    """Nobody is told."""
