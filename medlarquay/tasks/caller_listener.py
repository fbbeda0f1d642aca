"""The task that owns the connections of callers."""

import functools
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import events, states, telemetry, transport
from medlarquay.tasks import caller_delivery, task

__all__ = ('CallerListener',)


class CallerListener(task.Task):
    """Owns the caller sockets and passes requests to the router.

    Parameters
    ----------
    router : Task
        Receives ``RequestReceived``, ``RequestRejected``, ``CallerGone``.
    reactor : IReactorTime
        Clock and timers for the timeouts of slow senders.
    clock : callable
        Returns seconds on the monotonic clock.
    histograms : Histograms
        Histograms of the node, for the delivery time of answers.
    running_clock : callable, optional
        Returns seconds without the pauses of the process, by which slow
        senders are timed; by default the clock of the reactor.
    """

    def __init__(
        self,
        *,
        router: task.Task,
        reactor: interfaces.IReactorTime,
        clock: Callable[[], float],
        histograms: telemetry.Histograms,
        running_clock: Callable[[], float] | None = None,
    ) -> None:
        super().__init__(name='callers')
        self._clock = clock
        self._histograms = histograms
        self.lifecycle: task.Task | None = None
        self.connections = transport.CallerConnections(
            deliver=router.post,
            reactor=reactor,
            running_clock=running_clock,
        )

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def answer(self, message: events.AnswerReady) -> None:
        """Write an answer to its connection and measure its delivery."""
        delivery = caller_delivery.CallerDelivery(
            request_id=message.request_id,
            sent_at=self._clock(),
            clock=self._clock,
            histograms=self._histograms,
        )
        self.connections.answer(message, on_sent=delivery.finish)

    def report_finished(self) -> None:
        """Report to the lifecycle that all answers have been sent."""
        if self.lifecycle is not None:
            self.lifecycle.post(
                events.WorkFinished(part=states.NodePart.CALLERS),
            )


@functools.singledispatch
def _handle(message: object, listener: CallerListener) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _answer(message: events.AnswerReady, listener: CallerListener) -> None:
    listener.answer(message)


@_handle.register
def _drain(message: events.DrainRequested, listener: CallerListener) -> None:
    """Keep listening: a refusal states not-run, a closed port does not."""


@_handle.register
def _changed(
    message: events.LifecycleChanged, listener: CallerListener
) -> None:
    if message.state is states.NodeState.FLUSHING:
        listener.connections.close_gracefully(listener.report_finished)
    elif message.state is states.NodeState.STOPPED:
        listener.connections.stop_listening()
