"""What a command reads from and writes to."""

import dataclasses
from collections.abc import Callable
from typing import TextIO

from medlarquay.cli import node_question

__all__ = ('Console',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Console:
    """What a command reads from and writes to.

    Attributes
    ----------
    ask : callable
        Returns a node's answer; raises ``LinkError`` if there is none.
    output, problems : file
        Standard output and standard error.
    """

    ask: Callable[[node_question.NodeQuestion], bytes]
    output: TextIO
    problems: TextIO
