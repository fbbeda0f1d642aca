"""The task that answers whether callers may be sent to the node."""

import functools

from twisted.internet import interfaces

from medlarquay import events, ids, states, transport
from medlarquay.tasks import task

__all__ = ('Readiness',)

_READY = 200
_MALFORMED = 400
_NOT_READY = 503


class Readiness(task.Task):
    """Owns the connections that ask whether the node is ready.

    Parameters
    ----------
    reactor : IReactorTime
        Clock and timer for the deadlines of slow senders.

    Notes
    -----
    Every well-formed request on this port is answered, whatever its path:
    the port serves nothing else.
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
def _asked(message: events.RequestReceived, readiness: Readiness) -> None:
    ready = readiness.state is states.NodeState.SERVING
    _answer(message.caller, _READY if ready else _NOT_READY, readiness)


@_handle.register
def _rejected(message: events.RequestRejected, readiness: Readiness) -> None:
    _answer(message.caller, _MALFORMED, readiness)


@_handle.register
def _gone(message: events.CallerGone, readiness: Readiness) -> None:
    """Do nothing: a question leaves no state behind."""


def _answer(caller: ids.CallerId, status: int, readiness: Readiness) -> None:
    readiness.connections.answer(
        events.AnswerReady(
            caller=caller,
            status=status,
            headers=(),
            body=b'',
        ),
    )
