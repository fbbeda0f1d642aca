"""Set-up of logging."""

import io
from typing import TextIO

import logbook
from twisted import logger

from medlarquay.telemetry import line_formatter

__all__ = ('LOG_LEVELS', 'set_up_logs')

LOG_LEVELS = ('debug', 'info', 'warning', 'error')

_TWISTED = logbook.Logger('twisted')


def set_up_logs(
    *, stream: io.TextIOBase | TextIO, level: str
) -> logbook.Handler:
    """Send log lines, each with the name of its logger, to a stream.

    Parameters
    ----------
    stream : file
        Receives the lines.
    level : str
        Lowest level that is written, one of ``LOG_LEVELS``.

    Returns
    -------
    Handler
        Handler installed for the whole process.
    """
    logbook.set_datetime_format('utc')
    handler = logbook.StreamHandler(
        stream,
        level=logbook.lookup_level(level.upper()),
    )
    handler.formatter = line_formatter.LineFormatter()
    handler.push_application()
    logger.globalLogBeginner.beginLoggingTo(
        [_forward_twisted_event],
        redirectStandardIO=False,
        discardBuffer=True,
    )
    return handler


def _forward_twisted_event(event: logger.LogEvent) -> None:
    # At level info Twisted reports each connection and each idle timer.
    if event['log_level'] < logger.LogLevel.warn:
        return
    text = logger.formatEvent(event)
    failure = event.get('log_failure')
    if failure is None:
        _TWISTED.warning('{}', text)
    else:
        _TWISTED.error('{}: {}', text, failure.getTraceback())
