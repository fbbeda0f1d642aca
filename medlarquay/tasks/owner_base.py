"""State of the owner task and what it sends."""

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
from medlarquay.pacing import urgency as urgencies
from medlarquay.tasks import (
    alarm,
    clocks,
    local_backend,
    local_instance,
    owner_jobs,
    task,
)

__all__ = ('OwnerBase', 'Result')

Result = messages.CallAnswered | messages.CallRefused | messages.CallUnknown

# Replaced by the settings before the first request is admitted.
_NO_LIMITS = admission.Limits(slots=1, floors={}, queue_limit=0)


class OwnerBase(task.Task):
    """State of the owner task and what it sends.

    Parameters
    ----------
    hello : Hello
        Identity of this node.
    links : Task
        Sends results and notices to other nodes.
    reactor : IReactorTime
        Wakes the task at deadlines.
    clock : Clocks
        Monotonic and wall clock.
    counters : Counters
        Counts refusals.
    records : RecordLog
        Receives records of non-idempotent runs and crashes.
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
        self.admission = admission.Admission(bounds=_NO_LIMITS)
        self.ledger = ledger.Ledger(
            instance=hello.instance,
            incarnation=hello.incarnation,
        )
        self.quarantine = quarantine.Quarantine(service=ids.ServiceName(''))
        self.jobs = owner_jobs.OwnerJobs()
        self.local_backend = local_backend.LocalBackend()
        self.draining = False
        self._answer_by = math.inf
        self._stopping = False
        self._links = links
        self._crashes = 0
        self._finished = False
        self._alarm = alarm.Alarm(
            reactor=reactor,
            clock=clock.monotonic,
            target=self,
        )

    @property
    def answer_by(self) -> float:
        """When what is left ends unfinished; infinity until a stop."""
        return self._answer_by

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        return self.clock.monotonic()

    def wake_at(self, deadline: float) -> None:
        """Ask for a ``Tick``."""
        self._alarm.wake_at(deadline)

    def next_crash(self) -> str:
        """Return the id of a new crash, unique in the fleet."""
        self._crashes += 1
        hello = self.hello
        return f'{hello.instance}/{hello.incarnation}/{self._crashes}'

    def reply(
        self,
        link: ids.LinkId,
        message: Result,
        request_id: str = '',
        *,
        urgency: urgencies.Urgency = urgencies.NO_DEADLINE,
    ) -> None:
        """Send a result to the ingress of a call."""
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

    def ask_backend(
        self,
        message: events.StartRequest | events.AbortRequest,
    ) -> None:
        """Give the backend task a message."""
        if self.backend is not None:
            self.backend.post(message)

    def announce(
        self,
        message: messages.CrashSuspected | messages.SuspicionCleared,
    ) -> None:
        """Tell the owners of the same service."""
        if self.local_instance is None:
            return
        for peer in self.local_instance.peers:
            self._links.post(
                events.SendNotice(
                    instance=peer.node_name,
                    host=peer.host,
                    port=peer.peer_port,
                    message=message,
                ),
            )

    def follow_state(self, state: states.InstanceState) -> None:
        """Take new work only while the instance list says live."""
        if state is states.InstanceState.LEAVING:
            self.drain()
        elif self.draining and not self._stopping:
            # Another backend server runs beside this node now.
            self.draining = False
            self._finished = False
            self._log.info('taking work again')

    def stop(self, answer_by: float) -> None:
        """Finish the work before the process ends.

        Parameters
        ----------
        answer_by : float
            When what is left ends unfinished, seconds on the monotonic clock.
        """
        self._stopping = True
        self._answer_by = answer_by
        if self.jobs:
            self.wake_at(answer_by)
        # What was reported when the instance list said leaving came before
        # the lifecycle waited for it.
        self._finished = False
        self.drain()

    def drain(self) -> None:
        """Refuse new work from now on and tell all ingresses."""
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
        """Tell the lifecycle once when a draining owner has no work left."""
        if self.draining and not self.jobs and not self._finished:
            self._finished = True
            if self.lifecycle is not None:
                self.lifecycle.post(
                    events.WorkFinished(part=states.NodePart.OWNER),
                )
