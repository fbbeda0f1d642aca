"""Input and output channels of a command."""

import dataclasses
from collections.abc import Callable
from typing import TextIO

from medlarquay.cli import page_request

__all__ = ('Console',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Console:
    """Input and output channels of a command.

    Attributes
    ----------
    fetch_page : callable
        Returns the body of an admin page; raises ``LinkError`` if the node
        does not answer with it.
    output, error_output : file
        Standard output and standard error.
    """

    fetch_page: Callable[[page_request.PageRequest], bytes]
    output: TextIO
    error_output: TextIO
