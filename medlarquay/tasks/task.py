"""The base class of all tasks."""

import abc
import collections

import logbook

from medlarquay.tasks import handler_times

__all__ = ('HANDLER_TIMES', 'Task')

#: Handlers of all tasks, which share the one event loop of the process.
HANDLER_TIMES = handler_times.HandlerTimes()


class Task(abc.ABC):
    """Owns state and sockets and handles one message at a time.

    Other parts never touch the state of a task; they post messages to it.

    Parameters
    ----------
    name : str
        Name of the task; the fixed prefix of its log lines.

    Notes
    -----
    ``post`` runs the handler at once when the task is idle, so that a call
    does not wait for a turn of the reactor. A message posted while the task
    is busy is queued, so a handler is never re-entered.
    """

    def __init__(self, *, name: str) -> None:
        self._log = logbook.Logger(name)
        self._name = name
        self._queue: collections.deque[object] = collections.deque()
        self._busy = False

    @property
    def name(self) -> str:
        """Name of the task."""
        return self._name

    def post(self, message: object) -> None:
        """Deliver a message to the task.

        Parameters
        ----------
        message : object
            A typed message that the task understands.
        """
        self._queue.append(message)
        if self._busy:
            return
        self._busy = True
        try:
            self._drain()
        finally:
            self._busy = False

    @abc.abstractmethod
    def receive(self, message: object) -> None:
        """Handle one message; called by the mailbox only."""

    def _drain(self) -> None:
        while self._queue:
            message = self._queue.popleft()
            try:
                HANDLER_TIMES.run(self.receive, message, self._name)
            except Exception:
                # A fault in one message must not end the task: the state of
                # other calls is still needed to answer their callers.
                self._log.exception('message {} failed', type(message).__name__)
