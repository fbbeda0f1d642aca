"""Callbacks of a control link that a task opens."""

import dataclasses
from collections.abc import Callable

from medlarquay.tasks import control_link

__all__ = ('LinkCallbacks',)


def _ignore() -> None:
    """Ignore the arrival of bytes."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkCallbacks:
    """Callbacks of a control link that a task opens.

    Attributes
    ----------
    opened : callable
        Called with the link when its handshake completes.
    received : callable
        Called with each complete frame.
    closed : callable
        Called once when the link is lost or could not be opened.
    data_arrived : callable
        Called when bytes arrive, even if only part of a frame.
    """

    opened: Callable[[control_link.ControlLink], None]
    received: Callable[[bytes], None]
    closed: Callable[[], None]
    data_arrived: Callable[[], None] = _ignore
