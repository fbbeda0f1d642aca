"""Formatting of log lines."""

import math
import time

import logbook

__all__ = ('LineFormatter',)

_MICROSECONDS = 1_000_000


class LineFormatter:
    """Formats a record as time, level, part and message.

    Notes
    -----
    The text of the whole second is kept for the next line. Formatting the
    time of each line took half of the time that a line took.
    """

    def __init__(self) -> None:
        self._second = -1
        self._shown = ''

    def __call__(
        self,
        record: logbook.LogRecord,
        handler: logbook.Handler,
    ) -> str:
        """Return the line of a record, without a line feed."""
        fraction, whole = math.modf(time.time())
        if whole != self._second:
            self._second = int(whole)
            moment = time.gmtime(self._second)
            self._shown = time.strftime('%Y-%m-%dT%H:%M:%S', moment)
        line = (
            f'{self._shown}.{int(fraction * _MICROSECONDS):06d}Z '
            f'{record.level_name} {record.channel}: {record.message}'
        )
        if record.exc_info:
            return f'{line}\n{record.formatted_exception}'
        return line
