"""A stream of log lines with a bounded rate that never blocks."""

import io
import os
import time
from collections.abc import Callable

__all__ = ('BoundedStream',)

# Several times the lines of a node at its highest request rate; at about
# 250 bytes each, 125 KB a second.
_LINES_PER_SECOND = 500
_BURST_LINES = 2000


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
    A token bucket bounds the rate. A line over the rate, or one that the
    reader of the descriptor is too slow for, is dropped and counted; the
    count is written with the next line that gets through. A line that was
    written in part is completed before the next.
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
        self._tokens: float = _BURST_LINES
        self._filled_at = clock()
        self._unwritten = b''
        self._unreported = 0
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines dropped since the start."""
        return self._dropped

    def write(self, text: str) -> int:
        """Write one line, or drop it; return the length of the text."""
        if self._take_token() and self._flush_rest():
            content = text.encode()
            if self._unreported:
                content = b'logs: dropped=%d\n%b' % (self._unreported, content)
            written = self._put(content)
            if written:
                self._unreported = 0
                self._unwritten = content[written:]
                return len(text)
        self._dropped += 1
        self._unreported += 1
        return len(text)

    def _take_token(self) -> bool:
        now = self._clock()
        earned = (now - self._filled_at) * _LINES_PER_SECOND
        self._tokens = min(_BURST_LINES, self._tokens + earned)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _flush_rest(self) -> bool:
        if self._unwritten:
            self._unwritten = self._unwritten[self._put(self._unwritten) :]
        return not self._unwritten

    def _put(self, content: bytes) -> int:
        try:
            return os.write(self._descriptor, content)
        except OSError:
            # Nobody reads; the line is counted as dropped.
            return 0
