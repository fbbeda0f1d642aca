"""One direction of a relayed connection."""

import collections
import typing
from collections.abc import Callable

from twisted.internet import interfaces

__all__ = ('Pipe',)

# What one connection has on the way at most, like the window of TCP.
_WINDOW_BYTES = 65536


class _Link(typing.Protocol):
    def held(self, *, outgoing: bool) -> bool: ...

    def arrival(self, *, now: float, length: int, outgoing: bool) -> float: ...


class Pipe:
    """Delivers what one end sent in order, each part at its time.

    Parameters
    ----------
    reactor : IReactorTime
        Runs the times.
    link : SharedLink
        Link of the machine behind the relay.
    outgoing : bool
        Whether that machine sends.
    limit : callable
        Called with whether the sender has to wait.
    write : callable
        Receives what arrives; None for the end of the connection.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        link: _Link,
        outgoing: bool,
        limit: Callable[[bool], None],
        write: Callable[[bytes | None], None],
    ) -> None:
        self._reactor = reactor
        self._link = link
        self._outgoing = outgoing
        self._limit = limit
        self._write = write
        self._parts: collections.deque[tuple[float, bytes | None]] = (
            collections.deque()
        )
        self._queued = 0
        self._limited = False
        self._timer: interfaces.IDelayedCall | None = None

    def take(self, content: bytes | None) -> None:
        """Queue a part; None for the end of the connection."""
        length = len(content or b'')
        due = self._link.arrival(
            now=self._reactor.seconds(),
            length=length,
            outgoing=self._outgoing,
        )
        if self._parts:
            due = max(due, self._parts[-1][0])
        self._parts.append((due, content))
        self._queued += length
        self._balance()
        self._wait()

    def deliver(self) -> None:
        """Deliver what is due unless it is held."""
        now = self._reactor.seconds()
        while self._parts and self._parts[0][0] <= now and not self._held():
            _, content = self._parts.popleft()
            self._queued -= len(content or b'')
            self._write(content)
        self._balance()
        self._wait()

    def close(self) -> None:
        """Forget what is on the way."""
        self._parts.clear()
        self._stop_timer()

    def _held(self) -> bool:
        return self._link.held(outgoing=self._outgoing)

    def _wait(self) -> None:
        self._stop_timer()
        if self._parts and not self._held():
            left_s = self._parts[0][0] - self._reactor.seconds()
            self._timer = self._reactor.callLater(
                max(0, left_s),
                self.deliver,
            )

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _balance(self) -> None:
        full = self._queued >= _WINDOW_BYTES
        if full != self._limited:
            self._limited = full
            self._limit(full)
