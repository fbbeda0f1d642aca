"""The base class of all tasks."""

import abc
import collections

import logbook

from medlarquay.tasks import handler_times

__all__ = ('HANDLER_TIMES', 'Task')

#: Handler times of all tasks; they share the one event loop of the process.
HANDLER_TIMES = handler_times.HandlerTimes()


class Task(abc.ABC):
    """Base class of a task: it handles one message at a time.

    A task owns its state and its sockets. Other parts never access its state;
    they post messages to it.

    Parameters
    ----------
    name : str
        Name of the task, which is also the channel of its log lines.

    Notes
    -----
    If the task is idle, ``post`` runs the handler synchronously, so that a
    call does not wait for the next iteration of the reactor. A message posted
    while the task is busy is queued, so a handler is never re-entered.
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
            Message of a type that the task handles.
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
        """Handle one message; called by ``post`` only."""

    def _drain(self) -> None:
        while self._queue:
            message = self._queue.popleft()
            try:
                HANDLER_TIMES.run(self.receive, message, self._name)
            except Exception:
                # An error in one message must not stop the task: the state of
                # other calls is still needed to answer their callers.
                self._log.exception('message {} failed', type(message).__name__)
