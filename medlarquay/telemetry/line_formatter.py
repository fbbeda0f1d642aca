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
    The text of the current second is cached: formatting the time anew for
    each line took half of the time that a line took.
    """

    def __init__(self) -> None:
        self._second = -1
        self._second_text = ''

    def __call__(
        self,
        record: logbook.LogRecord,
        handler: logbook.Handler,
    ) -> str:
        """Format a record as one line, without a line feed."""
        fraction, whole = math.modf(time.time())
        if whole != self._second:
            self._second = int(whole)
            utc_time = time.gmtime(self._second)
            self._second_text = time.strftime('%Y-%m-%dT%H:%M:%S', utc_time)
        line = (
            f'{self._second_text}.{int(fraction * _MICROSECONDS):06d}Z '
            f'{record.level_name} {record.channel}: {record.message}'
        )
        if record.exc_info:
            return f'{line}\n{record.formatted_exception}'
        return line
