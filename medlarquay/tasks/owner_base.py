"""State and outgoing messages of the owner task."""

import math

from twisted.internet import interfaces

from medlarquay import (
    admission,
    events,
    ids,
    ledger,
    messages,
    quarantine,
    states,
    telemetry,
)
from medlarquay.pacing import body_intake, offered_body
from medlarquay.pacing import urgency as urgencies
from medlarquay.tasks import (
    alarm,
    clocks,
    local_backend,
    local_instance,
    owner_jobs,
    task,
)
from medlarquay.tasks import departure as departures

__all__ = ('OwnerBase', 'CallResult')

CallResult = messages.CallAnswered | messages.CallRefused | messages.CallUnknown

# Replaced by the limits of the first snapshot, before which every request is
# refused.
_INITIAL_LIMITS = admission.Limits(slots=1, floors={}, queue_limit=0)


class OwnerBase(task.Task):
    """State and outgoing messages of the owner task.

    Parameters
    ----------
    hello : Hello
        Identity of this node.
    links : Task
        Sends results and crash notices to other nodes.
    reactor : IReactorTime
        Schedules the ticks of the task.
    clock : Clocks
        Monotonic clock and wall clock.
    counters : Counters
        Counters and histograms of refusals and run times.
    records : RecordLog
        Receives the call records of non-idempotent runs and of crashes.
    """

    def __init__(
        self,
        *,
        hello: messages.Hello,
        links: task.Task,
        reactor: interfaces.IReactorTime,
        clock: clocks.Clocks,
        counters: telemetry.Counters,
        records: telemetry.RecordLog,
    ) -> None:
        super().__init__(name='owner')
        self.backend: task.Task | None = None
        self.router: task.Task | None = None
        self.lifecycle: task.Task | None = None
        self.hello = hello
        self.clock = clock
        self.records = records
        self.counters = counters
        self.local_instance: local_instance.LocalInstance | None = None
        self.admission = admission.Admission(bounds=_INITIAL_LIMITS)
        self.ledger = ledger.Ledger(
            instance=hello.instance,
            incarnation=hello.incarnation,
        )
        self.quarantine = quarantine.Quarantine(service=ids.ServiceName(''))
        self.jobs = owner_jobs.OwnerJobs()
        self.local_backend = local_backend.LocalBackend()
        self.draining = False
        self._departure = departures.Departure()
        self._answer_by = math.inf
        self._stopping = False
        self._links = links
        self._intake = body_intake.BodyIntake()
        self._crashes = 0
        self._drain_reported = False
        self._alarm = alarm.Alarm(
            reactor=reactor,
            clock=clock.monotonic,
            target=self,
        )

    @property
    def answer_by(self) -> float:
        """Time when unfinished jobs are ended; infinity before a stop."""
        return self._answer_by

    @property
    def departure(self) -> departures.Departure:
        """What is known of the departure of the backend server."""
        return self._departure

    @property
    def intake(self) -> body_intake.BodyIntake:
        """Large bodies that other nodes offer to send."""
        return self._intake

    def set_link_rate(self, bytes_per_s: float) -> None:
        """Set the rate of the machine's link, before any request arrives.

        Parameters
        ----------
        bytes_per_s : float
            Rate in bytes per second; infinite if unknown.
        """
        self.local_backend.link_bytes_per_s = bytes_per_s
        self._intake = body_intake.BodyIntake(bytes_per_s=bytes_per_s)

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        return self.clock.monotonic()

    def wake_at(self, deadline: float) -> None:
        """Request a ``Tick`` at a time on the monotonic clock."""
        self._alarm.wake_at(deadline)

    def next_crash_id(self) -> str:
        """Return an id for a new crash that is unique across all nodes."""
        self._crashes += 1
        hello = self.hello
        return f'{hello.instance}/{hello.incarnation}/{self._crashes}'

    def reply(
        self,
        link: ids.LinkId,
        message: CallResult,
        request_id: str = '',
        *,
        urgency: urgencies.Urgency = urgencies.NO_DEADLINE,
    ) -> None:
        """Send the result of a call to its ingress.

        The link number 0 stands for the ingress of this node.
        """
        if link:
            self._links.post(
                events.SendReply(
                    link=link,
                    message=message,
                    request_id=request_id,
                    urgency=urgency,
                ),
            )
        elif self.router is not None:
            self.router.post(message)

    def grant(self, body: offered_body.OfferedBody) -> None:
        """Let an ingress send the body of a call that it offered."""
        self._links.post(events.SendGrant(link=body.link, call_id=body.call_id))

    def post_to_backend(
        self,
        message: events.StartRequest | events.AbortRequest,
    ) -> None:
        """Post a message to the backend task."""
        if self.backend is not None:
            self.backend.post(message)

    def notify_peers(
        self,
        message: messages.CrashSuspected | messages.SuspicionCleared,
    ) -> None:
        """Send a crash notice to the other owners of the service."""
        if self.local_instance is None:
            return
        for peer in self.local_instance.peers:
            self.post_to_links(
                events.SendNotice(
                    instance=peer.node_name,
                    host=peer.host,
                    port=peer.peer_port,
                    message=message,
                ),
            )

    def post_to_links(
        self, message: events.SendNotice | events.OpenLink
    ) -> None:
        """Post a message to the call links task."""
        self._links.post(message)

    def resume(self) -> None:
        """Accept requests again, unless a stop was requested."""
        if self.draining and not self._stopping:
            # A new backend server was started on the machine of this node.
            self.draining = False
            self._drain_reported = False
            self._log.info('instance is no longer leaving; accepting requests')

    def stop(self, answer_by: float) -> None:
        """Drain before the process ends.

        Parameters
        ----------
        answer_by : float
            Time when unfinished jobs are ended, seconds on the monotonic
            clock.
        """
        self._stopping = True
        self._answer_by = answer_by
        if self.jobs:
            self.wake_at(answer_by)
        # A drain that was reported while the instance was only listed as
        # leaving came too early: the lifecycle did not wait for it yet, so it
        # is reported again.
        self._drain_reported = False
        self.drain()

    def drain(self) -> None:
        """Refuse new requests from now on and notify all ingresses."""
        if self.draining:
            return
        self.draining = True
        self._log.info('draining with {} requests', len(self.jobs))
        self._links.post(
            events.BroadcastReply(
                message=messages.Draining(instance=self.hello.instance),
            ),
        )

    def finish_drain(self) -> None:
        """Notify the lifecycle once when a draining owner has no jobs left."""
        if self.draining and not self.jobs and not self._drain_reported:
            self._drain_reported = True
            if self.lifecycle is not None:
                self.lifecycle.post(
                    events.WorkFinished(part=states.NodePart.OWNER),
                )
