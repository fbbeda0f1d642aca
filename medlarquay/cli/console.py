"""What a command reads from and writes to."""

import dataclasses
from collections.abc import Callable
from typing import TextIO

from medlarquay.cli import page_request

__all__ = ('Console',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Console:
    """What a command reads from and writes to.

    Attributes
    ----------
    fetch_page : callable
        Returns a node's answer; raises ``LinkError`` if there is none.
    output, error_output : file
        Standard output and standard error.
    """

    fetch_page: Callable[[page_request.PageRequest], bytes]
    output: TextIO
    error_output: TextIO
