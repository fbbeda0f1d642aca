"""State of the router and its messages to other tasks."""

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
    snapshots,
    states,
)
from medlarquay.tasks import alarm, local_record, task

__all__ = ('RouterBase',)

# Ticks also while no call is in progress, because a late tick is how a pause of
# the process is detected.
_HOUSEKEEPING_S = 1.0

_NodeEvent = (
    events.PeerGreeted
    | events.PeerHeard
    | events.PeerLost
    | events.PeerSilent
    | messages.Draining
)


class RouterBase(task.Task):
    """State of the router and its messages to other tasks.

    Parameters
    ----------
    hello : Hello
        Instance, incarnation, region and data centre of this node.
    links, owner : Task
        Tasks that receive calls for other nodes and for the local backend
        server.
    clock : callable
        Returns seconds on the monotonic clock.
    reporter : CallReporter
        Counts, records and logs the answers to callers.
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
            location=routing.Location(
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
        self._instance = hello.instance
        self._service_learned = False
        self.draining = False
        self.drain = events.DrainRequested()
        self.clock = clock
        self.reporter = reporter

    def start(self, *, reactor: interfaces.IReactorTime) -> None:
        """Start the timer for the deadlines of calls."""
        self.alarm = alarm.Alarm(
            reactor=reactor,
            clock=self.clock,
            target=self,
        )
        self.schedule_tick()

    def learn_service(self, snapshot: snapshots.Snapshot) -> None:
        """Take the service beside this node from the instance list.

        Nothing is changed if the platform tells it.
        """
        if self.settings.service and not self._service_learned:
            return
        record = local_record.find_local_record(snapshot, self._instance)
        if record is not None:
            self._service_learned = True
            self.settings = dataclasses.replace(
                self.settings, service=record.service.encode()
            )

    def request_id(self, message: events.RequestReceived) -> str:
        """Return the id that the caller gave a request; empty if none."""
        return self.settings.names.request_id_of(message.headers)

    def observe(self, event: object) -> None:
        """Update the observations of owners with an event."""
        routing.observe(event, self.routing_state.observations, self.clock())

    def observe_node(self, event: _NodeEvent) -> None:
        """Update the observations of all backend servers of a node."""
        for instance in self.table.instances_at(event.instance):
            self.observe(dataclasses.replace(event, instance=instance))

    def finish(self, call_id: ids.CallId) -> ingress.IngressCall | None:
        """Remove an attempt and return its call.

        If there is none, the result came late; return None and count it as
        dropped.
        """
        call = self.calls.finish(call_id)
        if call is None:
            self.reporter.count(states.DroppedMessage.NO_CALL_AT_INGRESS)
        return call

    def answer(
        self,
        message: events.AnswerReady,
        request_id: str = '',
    ) -> None:
        """Pass an answer to the listener.

        In a drain, the connection is closed after the answer.
        """
        self.calls.pending_request = None
        if self.listener is not None:
            self.listener.post(
                dataclasses.replace(
                    message,
                    close=message.close or self.draining,
                    request_id=request_id,
                ),
            )

    def schedule_tick(self) -> None:
        """Set the timer for the next tick."""
        if self.alarm is None:
            return
        now = self.clock()
        tick_at = min(self.calls.next_deadline(), now + _HOUSEKEEPING_S)
        if now < self.drain.refuse_at:
            tick_at = min(tick_at, self.drain.refuse_at)
        self.alarm.wake_at(tick_at)

    def finish_drain(self) -> None:
        """Notify the lifecycle once when a draining router has no calls."""
        if not self.draining:
            return
        if len(self.calls) or len(self.incarnations) or self.lifecycle is None:
            return
        if self.clock() < self.drain.refuse_at:
            return
        lifecycle = self.lifecycle
        # Reported only once: later requests are refused and need no report.
        self.lifecycle = None
        lifecycle.post(events.WorkFinished(part=states.NodePart.ROUTER))
