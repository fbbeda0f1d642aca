"""Handling of the signals that stop the process."""

import functools
import os
import signal
import sys
from types import FrameType
from typing import NoReturn

from twisted.internet import interfaces

from medlarquay import events
from medlarquay.tasks import task

__all__ = ('end_process', 'post_on_signal', 'run_reactor')


def post_on_signal(
    *,
    reactor: interfaces.IReactorFromThreads,
    target: task.Task,
) -> None:
    """Post ``DrainRequested`` to a task on SIGTERM and SIGINT.

    Must be called after the reactor has started, because on its start it
    installs handlers of its own.
    """
    handler = functools.partial(_post, reactor, target)
    signal.signal(signal.SIGTERM, handler)
    signal.signal(signal.SIGINT, handler)


def run_reactor(reactor: interfaces.IReactorCore) -> None:
    """Run a reactor until it is stopped, then ignore SIGTERM and SIGINT.

    At exit, the interpreter restores the default action of signals. A further
    signal would then kill the process, and a graceful stop would look like a
    failure.
    """
    reactor.run()
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def end_process() -> NoReturn:
    """End the process without the end of its interpreter.

    That frees each object in turn, which a busy machine may not finish before
    the process is killed. Nothing is left to save.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)  # noqa: SLF001


def _post(
    reactor: interfaces.IReactorFromThreads,
    target: task.Task,
    number: int,
    frame: FrameType | None,
) -> None:
    # A signal handler may interrupt a task at any point, so the message must be
    # posted from the event loop.
    reactor.callFromThread(target.post, events.DrainRequested())
