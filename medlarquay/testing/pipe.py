"""One direction of a relayed connection."""

import collections
import typing
from collections.abc import Callable

from twisted.internet import interfaces

__all__ = ('Pipe',)

# Maximum number of bytes in flight on one connection, like the TCP window.
_WINDOW_BYTES = 65536


class _Link(typing.Protocol):
    def is_held(self, *, outgoing: bool) -> bool: ...

    def arrival_time(
        self, *, now: float, length: int, outgoing: bool
    ) -> float: ...


class Pipe:
    """Delivers the chunks that one endpoint sends, in order and delayed.

    Parameters
    ----------
    reactor : IReactorTime
        Runs the timers.
    link : SharedLink
        Link of the machine behind the relay.
    outgoing : bool
        Whether that machine is the sender.
    set_paused : callable
        Called with True to pause the sender, with False to resume it.
    write : callable
        Receives the bytes that arrive; None for the end of the connection.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        link: _Link,
        outgoing: bool,
        set_paused: Callable[[bool], None],
        write: Callable[[bytes | None], None],
    ) -> None:
        self._reactor = reactor
        self._link = link
        self._outgoing = outgoing
        self._set_paused = set_paused
        self._write = write
        self._chunks: collections.deque[tuple[float, bytes | None]] = (
            collections.deque()
        )
        self._queued_bytes = 0
        self._paused = False
        self._timer: interfaces.IDelayedCall | None = None

    def enqueue(self, content: bytes | None) -> None:
        """Queue a chunk; None for the end of the connection."""
        length = len(content or b'')
        due = self._link.arrival_time(
            now=self._reactor.seconds(),
            length=length,
            outgoing=self._outgoing,
        )
        if self._chunks:
            due = max(due, self._chunks[-1][0])
        self._chunks.append((due, content))
        self._queued_bytes += length
        self._update_flow_control()
        self._schedule_delivery()

    def deliver(self) -> None:
        """Deliver the chunks that are due, unless the link holds them."""
        now = self._reactor.seconds()
        while (
            self._chunks and self._chunks[0][0] <= now and not self._is_held()
        ):
            _, content = self._chunks.popleft()
            self._queued_bytes -= len(content or b'')
            self._write(content)
        self._update_flow_control()
        self._schedule_delivery()

    def close(self) -> None:
        """Discard the bytes in flight."""
        self._chunks.clear()
        self._stop_timer()

    def _is_held(self) -> bool:
        return self._link.is_held(outgoing=self._outgoing)

    def _schedule_delivery(self) -> None:
        self._stop_timer()
        if self._chunks and not self._is_held():
            remaining_s = self._chunks[0][0] - self._reactor.seconds()
            self._timer = self._reactor.callLater(
                max(0, remaining_s),
                self.deliver,
            )

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _update_flow_control(self) -> None:
        full = self._queued_bytes >= _WINDOW_BYTES
        if full != self._paused:
            self._paused = full
            self._set_paused(full)
