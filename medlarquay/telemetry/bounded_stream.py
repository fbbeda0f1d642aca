"""Non-blocking, rate-limited stream of log lines."""

import contextlib
import io
import os
import time
from collections.abc import Callable, Iterator

__all__ = ('BoundedStream',)

# Several times the lines of a node at its highest request rate; at about
# 250 bytes each, 125 KB a second.
_LINES_PER_SECOND = 500
_BURST_LINES = 2000
# Lines are written in batches: one write for each line is a fifth of a node's
# system calls. A killed process loses at most the lines of this interval.
_FLUSH_INTERVAL_S = 0.2
# Limit of the buffer while nobody reads from the descriptor.
_MAX_BUFFERED_BYTES = 1 << 18

_Schedule = Callable[[float, Callable[[], None]], object]


class BoundedStream(io.TextIOBase):
    """Writes lines to a file descriptor without blocking.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is made non-blocking.
    clock : callable
        Returns seconds on the monotonic clock.

    Notes
    -----
    A token bucket limits the rate. A line over the rate, or one that finds
    the buffer full because the reader of the descriptor is slow, is dropped
    and counted; the count is written before the next line that is kept.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._schedule: _Schedule | None = None
        self._scheduled = False
        self._tokens: float = _BURST_LINES
        self._refilled_at = clock()
        self._buffer = bytearray()
        self._unreported = 0
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the start."""
        return self._dropped

    @contextlib.contextmanager
    def batching(self, schedule: _Schedule) -> Iterator[None]:
        """Write lines in batches inside the context; flush at its end.

        Parameters
        ----------
        schedule : callable
            Calls a function after a delay in seconds.
        """
        self._schedule = schedule
        try:
            yield
        finally:
            self._schedule = None
            self.flush()

    def write(self, text: str) -> int:
        """Buffer one line, or drop it; return its length."""
        has_room = len(self._buffer) < _MAX_BUFFERED_BYTES
        if not self._take_token() or not has_room:
            self._dropped += 1
            self._unreported += 1
            return len(text)
        if self._unreported:
            self._buffer += b'logs: dropped=%d\n' % self._unreported
            self._unreported = 0
        self._buffer += text.encode()
        if self._schedule is None:
            self.flush()
        elif not self._scheduled:
            self._scheduled = True
            self._schedule(_FLUSH_INTERVAL_S, self._write_buffer)
        return len(text)

    def flush(self) -> None:
        """Write the buffer now, unless lines are written in batches.

        A log handler flushes its stream after each line.
        """
        if self._schedule is None:
            self._write_buffer()

    def _write_buffer(self) -> None:
        """Write what the descriptor accepts; keep the rest in the buffer."""
        self._scheduled = False
        try:
            written = os.write(self._descriptor, self._buffer)
        except OSError:
            # Nobody reads from the descriptor. Lines that exceed the buffer
            # are counted as dropped.
            return
        self._buffer = self._buffer[written:]

    def _take_token(self) -> bool:
        now = self._clock()
        refill = (now - self._refilled_at) * _LINES_PER_SECOND
        self._tokens = min(_BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
