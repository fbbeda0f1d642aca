"""Callbacks of a control link that a task opens."""

import dataclasses
from collections.abc import Callable

from medlarquay.tasks import control_link

__all__ = ('LinkCallbacks',)


def _ignore() -> None:
    """Leave the arrival of bytes unnoted."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkCallbacks:
    """Callbacks of a control link that a task opens.

    Attributes
    ----------
    opened : callable
        Receives the link when its handshake completes.
    received : callable
        Receives each frame.
    closed : callable
        Called once when the link is lost or could not be opened.
    heard : callable
        Called when bytes arrive, also a part of a frame.
    """

    opened: Callable[[control_link.ControlLink], None]
    received: Callable[[bytes], None]
    closed: Callable[[], None]
    heard: Callable[[], None] = _ignore
