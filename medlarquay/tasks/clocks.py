"""Clocks of a node."""

import dataclasses
import time
from collections.abc import Callable

__all__ = ('Clocks',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Clocks:
    """Clocks of a node.

    Attributes
    ----------
    monotonic : callable
        Returns seconds on a monotonic clock; all deadlines refer to it.
    wall : callable
        Returns Unix time in seconds.
    """

    monotonic: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time
