"""A stream of log lines with a bounded rate that never blocks."""

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
# A write for each line is a fifth of a node's system calls. A killed process
# loses at most the lines of this time.
_FLUSH_S = 0.2
# Lines that wait while nobody reads the descriptor.
_MAX_WAITING_BYTES = 1 << 18

_Schedule = Callable[[float, Callable[[], None]], object]


class BoundedStream(io.TextIOBase):
    """Writes lines to a file descriptor without ever waiting for it.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is made non-blocking.
    clock : callable
        Returns seconds on the monotonic clock.

    Notes
    -----
    A token bucket bounds the rate. A line over the rate, or one for which
    there is no room since the reader of the descriptor is slow, is dropped
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
        self._filled_at = clock()
        self._waiting = bytearray()
        self._unreported = 0
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines dropped since the start."""
        return self._dropped

    @contextlib.contextmanager
    def gathering(self, schedule: _Schedule) -> Iterator[None]:
        """Write the lines of a short time together; write all at the end.

        Parameters
        ----------
        schedule : callable
            Calls a function after a number of seconds.
        """
        self._schedule = schedule
        try:
            yield
        finally:
            self._schedule = None
            self.flush()

    def write(self, text: str) -> int:
        """Keep one line for writing, or drop it; return its length."""
        room = len(self._waiting) < _MAX_WAITING_BYTES
        if not self._take_token() or not room:
            self._dropped += 1
            self._unreported += 1
            return len(text)
        if self._unreported:
            self._waiting += b'logs: dropped=%d\n' % self._unreported
            self._unreported = 0
        self._waiting += text.encode()
        if self._schedule is None:
            self.flush()
        elif not self._scheduled:
            self._scheduled = True
            self._schedule(_FLUSH_S, self.flush)
        return len(text)

    def flush(self) -> None:
        """Write what the descriptor takes; the rest waits."""
        self._scheduled = False
        try:
            written = os.write(self._descriptor, self._waiting)
        except OSError:
            # Nobody reads; lines without room are counted as dropped.
            return
        self._waiting = self._waiting[written:]

    def _take_token(self) -> bool:
        now = self._clock()
        earned = (now - self._filled_at) * _LINES_PER_SECOND
        self._tokens = min(_BURST_LINES, self._tokens + earned)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
