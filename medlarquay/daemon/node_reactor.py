"""Reactor of a node."""

import time

from twisted.internet import interfaces

__all__ = ('load_reactor',)


def load_reactor() -> interfaces.IReactorCore:
    """Return the reactor of the process, with timers on the monotonic clock.

    Must be called before any timer is requested.

    Notes
    -----
    By default the reactor measures its timers by the time of day. Timers would
    fire late or early by the step when that is set back or ahead, while all
    deadlines of a node are on the monotonic clock.
    """
    # The reactor is installed on import.
    from twisted.internet import reactor  # noqa: PLC0415

    reactor.seconds = time.monotonic
    return reactor
