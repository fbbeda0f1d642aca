"""What became of one request, from the logs of nodes."""

import dataclasses
import pathlib
from collections.abc import Iterable

from medlarquay.cli import log_line

__all__ = ('RequestHistory', 'read_history')

# The ingress writes it once, when it answers the caller.
_TOLD = 'told'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestHistory:
    """What became of one request, from the logs of nodes.

    Attributes
    ----------
    lines : tuple of LogLine
        Lines that name the request, in order of time.
    """

    lines: tuple[log_line.LogLine, ...]

    @property
    def final_line(self) -> log_line.LogLine | None:
        """The decision that ended the request, as far as it was logged.

        What the caller was told ends it. Without such a line its ingress
        ended first, and the last line of an owner is all that is known.
        """
        told = [line for line in self.lines if _TOLD in line.fields]
        candidates = told or self.lines
        return candidates[-1] if candidates else None


def read_history(request: str, paths: Iterable[str]) -> RequestHistory:
    """Collect the lines that name a request.

    Raises
    ------
    OSError
        If a file cannot be read.
    """
    wanted = f'request={request} '
    found = [
        parsed
        for path in paths
        for line in pathlib.Path(path).read_text(errors='replace').splitlines()
        if wanted in f'{line} '
        and (parsed := log_line.LogLine.parse(line, path=path)) is not None
    ]
    return RequestHistory(
        lines=tuple(sorted(found, key=lambda line: line.time)),
    )
