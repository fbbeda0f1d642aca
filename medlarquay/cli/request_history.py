"""Log lines of one request from the logs of several nodes."""

import dataclasses
import pathlib
from collections.abc import Iterable

from medlarquay.cli import log_line

__all__ = ('RequestHistory', 'read_history')

# The ingress logs this field once per request, when the request ends: the
# status of the answer to the caller.
_STATUS_FIELD = 'told'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestHistory:
    """Log lines of one request from the logs of several nodes.

    Attributes
    ----------
    lines : tuple of LogLine
        Lines that name the request, sorted by time.
    """

    lines: tuple[log_line.LogLine, ...]

    @property
    def final_line(self) -> log_line.LogLine | None:
        """Line with the final result of the request; None if there is none.

        The ingress logs the final result with the status of its answer to the
        caller. Without such a line, the ingress process ended before the
        request did, and the last line of an owner is the latest known event.
        """
        answers = [line for line in self.lines if _STATUS_FIELD in line.fields]
        candidates = answers or self.lines
        return candidates[-1] if candidates else None


def read_history(request: str, paths: Iterable[str]) -> RequestHistory:
    """Read all lines that name a request from log files.

    Raises
    ------
    OSError
        If a file cannot be read.
    """
    request_field = f'request={request} '
    matching = [
        parsed
        for path in paths
        for line in pathlib.Path(path).read_text(errors='replace').splitlines()
        if request_field in f'{line} '
        and (parsed := log_line.LogLine.parse(line, path=path)) is not None
    ]
    return RequestHistory(
        lines=tuple(sorted(matching, key=lambda line: line.time)),
    )
