"""Signals that ask the process to stop."""

import functools
import signal
from types import FrameType

from twisted.internet import interfaces

from medlarquay import events
from medlarquay.tasks import task

__all__ = ('post_on_signal', 'run_reactor')


def post_on_signal(
    *,
    reactor: interfaces.IReactorFromThreads,
    target: task.Task,
) -> None:
    """Post ``DrainRequested`` to a task on SIGTERM and SIGINT.

    Call it after the reactor has started, which installs its own handlers.
    """
    handler = functools.partial(_post, reactor, target)
    signal.signal(signal.SIGTERM, handler)
    signal.signal(signal.SIGINT, handler)


def run_reactor(reactor: interfaces.IReactorCore) -> None:
    """Run a reactor to its end; after it signals change nothing.

    The interpreter puts the default action back while it ends, which would
    make a graceful stop look like a failure.
    """
    reactor.run()
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def _post(
    reactor: interfaces.IReactorFromThreads,
    target: task.Task,
    number: int,
    frame: FrameType | None,
) -> None:
    # The handler may interrupt a task at any point.
    reactor.callFromThread(target.post, events.DrainRequested())
