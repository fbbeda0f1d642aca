"""State of the router and what it sends."""

import dataclasses
import random as random_module
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import (
    events,
    ids,
    ingress,
    messages,
    routing,
    states,
)
from medlarquay.tasks import alarm, task

__all__ = ('RouterBase',)

# A pause is noticed by a late timer also while no call is under way.
_HOUSEKEEPING_S = 1.0

_NodeEvent = (
    events.PeerGreeted
    | events.PeerHeard
    | events.PeerLost
    | events.PeerSilent
    | messages.Draining
)


class RouterBase(task.Task):
    """State of the router and what it sends.

    Parameters
    ----------
    hello : Hello
        Instance, run, region and data centre of this node.
    links, owner : Task
        Take calls for other nodes and for the local backend server.
    clock : callable
        Returns seconds on the monotonic clock.
    reporter : CallReporter
        Counts and records what callers were told.
    random : Random
        Source of random numbers for the choice of owners.
    """

    def __init__(
        self,
        *,
        hello: messages.Hello,
        links: task.Task,
        owner: task.Task,
        clock: Callable[[], float],
        reporter: ingress.CallReporter,
        random: random_module.Random,
    ) -> None:
        super().__init__(name='router')
        self.listener: task.Task | None = None
        self.lifecycle: task.Task | None = None
        self.alarm: alarm.Alarm | None = None
        self.calls = ingress.IngressCalls()
        self.incarnations = ingress.KnownIncarnations(hello=hello)
        self.routing_state = routing.RoutingState(
            instance=hello.instance,
            observations=routing.Observations(),
            random=random,
        )
        self.table = ingress.RoutingTable(
            place=routing.Location(
                instance=hello.instance,
                region=hello.region,
                data_centre=hello.data_centre,
            ),
        )
        self.sender = ingress.CallSender(
            instance=hello.instance,
            links=links,
            owner=owner,
        )
        self.key_issuer = ingress.KeyIssuer(
            incarnations=self.incarnations,
            table=self.table,
            sender=self.sender,
            reporter=reporter,
            answer=self.answer,
        )
        self.settings = ingress.IngressSettings()
        self.draining = False
        self.drain = events.DrainRequested()
        self.clock = clock
        self.reporter = reporter

    def start(self, *, reactor: interfaces.IReactorTime) -> None:
        """Begin to watch the deadlines of calls."""
        self.alarm = alarm.Alarm(
            reactor=reactor,
            clock=self.clock,
            target=self,
        )
        self.wake()

    def request_id(self, message: events.RequestReceived) -> str:
        """Return the id that the caller gave a request, or nothing."""
        return self.settings.names.request_id_of(message.headers)

    def observe(self, event: object) -> None:
        """Update the observations of owners."""
        routing.observe(event, self.routing_state.observations, self.clock())

    def observe_node(self, event: _NodeEvent) -> None:
        """Update the observations of all backend servers beside a node."""
        for instance in self.table.instances_at(event.instance):
            self.observe(dataclasses.replace(event, instance=instance))

    def finish(self, call_id: ids.CallId) -> ingress.IngressCall | None:
        """Forget an attempt; count a result that belongs to none."""
        call = self.calls.finish(call_id)
        if call is None:
            self.reporter.count(states.DroppedMessage.NO_CALL_AT_INGRESS)
        return call

    def answer(
        self,
        message: events.AnswerReady,
        request_id: str = '',
    ) -> None:
        """Give the listener an answer."""
        self.calls.owed = None
        if self.listener is not None:
            self.listener.post(
                dataclasses.replace(
                    message,
                    close=message.close or self.draining,
                    request_id=request_id,
                ),
            )

    def wake(self) -> None:
        """Ask for the next tick."""
        if self.alarm is None:
            return
        now = self.clock()
        wanted = min(self.calls.next_deadline(), now + _HOUSEKEEPING_S)
        if now < self.drain.refuse_at:
            wanted = min(wanted, self.drain.refuse_at)
        self.alarm.wake_at(wanted)

    def finish_drain(self) -> None:
        """Tell the lifecycle once that no call is left after a drain."""
        if not self.draining:
            return
        if len(self.calls) or len(self.incarnations) or self.lifecycle is None:
            return
        if self.clock() < self.drain.refuse_at:
            return
        lifecycle = self.lifecycle
        # Reported once; refusing a request after that is not work.
        self.lifecycle = None
        lifecycle.post(events.WorkFinished(part=states.NodePart.ROUTER))
