"""Listening port that waits when no connection can be accepted."""

import errno
import socket

import logbook
from twisted.internet import tcp

__all__ = ('AcceptingPort',)

_LOG = logbook.Logger('accept')
# Pause after a failed accept, in seconds.
_PAUSE_S = 0.1
# The process or the machine lacks descriptors or memory for a connection.
_NO_RESOURCES = frozenset((
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
))


class _ListeningSocket(socket.socket):
    """Listening socket that notes that a connection cannot be accepted."""

    exhausted: bool

    def accept(self) -> tuple[socket.socket, object]:
        """Accept a connection.

        Raises
        ------
        OSError
            If there is none, or it cannot be accepted.
        """
        try:
            return super().accept()
        except OSError as failure:
            self.exhausted = failure.errno in _NO_RESOURCES
            raise


class AcceptingPort(tcp.Port):
    """Listening port that pauses when no connection can be accepted.

    Notes
    -----
    The port of the reactor tries again at once, since its socket stays
    readable while a connection waits: the process then uses all of its
    processor time. It closes a reserved file to accept and drop connections,
    which does not help if files and sockets have separate limits.
    """

    def doRead(self) -> None:  # noqa: N802
        """Accept the waiting connections, or pause."""
        self.socket.exhausted = False
        super().doRead()
        if self.socket.exhausted and self.connected:
            _LOG.warning('no descriptor for a connection; waiting')
            self.stopReading()
            self.reactor.callLater(_PAUSE_S, self._resume)

    def createInternetSocket(self) -> socket.socket:  # noqa: N802
        """Return a new socket to listen on."""
        plain = super().createInternetSocket()
        listening = _ListeningSocket(
            self.addressFamily, self.socketType, fileno=plain.detach()
        )
        listening.exhausted = False
        return listening

    def _resume(self) -> None:
        if self.connected:
            self.startReading()
