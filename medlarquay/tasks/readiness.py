"""Task that answers readiness checks of this node."""

import functools

from twisted.internet import interfaces

from medlarquay import events, ids, states, transport
from medlarquay.tasks import task

__all__ = ('Readiness',)

_READY = 200
_MALFORMED = 400
_NOT_READY = 503


class Readiness(task.Task):
    """Answers readiness checks: whether callers may be sent to this node.

    Parameters
    ----------
    reactor : IReactorTime
        Clock and timers for the timeouts of slow requests.

    Notes
    -----
    The task owns a port of its own, so every well-formed request is answered
    alike, whatever its path.
    """

    def __init__(self, *, reactor: interfaces.IReactorTime) -> None:
        super().__init__(name='readiness')
        self.state = states.NodeState.STARTING
        self.connections = transport.CallerConnections(
            deliver=self.post,
            reactor=reactor,
        )

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)


@functools.singledispatch
def _handle(message: object, readiness: Readiness) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _changed(message: events.LifecycleChanged, readiness: Readiness) -> None:
    readiness.state = message.state


@_handle.register
def _requested(message: events.RequestReceived, readiness: Readiness) -> None:
    ready = readiness.state is states.NodeState.SERVING
    _answer(message.caller, _READY if ready else _NOT_READY, readiness)


@_handle.register
def _rejected(message: events.RequestRejected, readiness: Readiness) -> None:
    _answer(message.caller, _MALFORMED, readiness)


@_handle.register
def _gone(message: events.CallerGone, readiness: Readiness) -> None:
    """Do nothing: no state is kept for a request."""


def _answer(caller: ids.CallerId, status: int, readiness: Readiness) -> None:
    readiness.connections.answer(
        events.AnswerReady(
            caller=caller,
            status=status,
            headers=(),
            body=b'',
        ),
    )
