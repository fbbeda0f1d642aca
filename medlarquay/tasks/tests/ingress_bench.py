"""Test bench for the router: the other tasks are recorders."""

import random
from collections.abc import Iterable
from typing import TypeVar

from twisted.internet import task as twisted_task

from medlarquay import (
    events,
    ids,
    ingress,
    messages,
    replica,
    settings,
    snapshots,
    states,
    telemetry,
)
from medlarquay.tasks import router, task

__all__ = ('IngressBench', 'Recorder', 'backend', 'single')

_Kind = TypeVar('_Kind')

_TEAM = ids.TeamName('team')
_SERVICE = ids.ServiceName('desk')
_REGION = ids.RegionName('north')
_DATA_CENTRE = ids.DataCentreName('a')


def single(items: Iterable[_Kind]) -> _Kind:
    """Return the only member; fail if there are none or several."""
    members = tuple(items)
    assert len(members) == 1
    return members[0]


class Recorder(task.Task):
    """Task that records the messages that it receives."""

    def __init__(self) -> None:
        super().__init__(name='recorder')
        self.received: list[object] = []

    def receive(self, message: object) -> None:
        """Record one message."""
        self.received.append(message)

    def take(self) -> list[object]:
        """Remove and return the recorded messages."""
        taken = self.received
        self.received = []
        return taken


def backend(
    name: str,
    state: states.InstanceState = states.InstanceState.LIVE,
) -> replica.InstanceRecord:
    """Return a backend server in the data centre of its first letter."""
    return replica.InstanceRecord(
        instance=ids.InstanceId(name),
        revision=ids.Revision(1),
        team=_TEAM,
        service=_SERVICE,
        region=_REGION,
        data_centre=ids.DataCentreName(name[0]),
        host='127.0.0.1',
        caller_port=1,
        peer_port=2,
        slots=2,
        state=state,
    )


class IngressBench:
    """Router of instance ``a0``; the tasks around it are recorders."""

    def __init__(
        self,
        *backends: replica.InstanceRecord,
        timeout_ms: int = 2000,
        attempts: int = 3,
    ) -> None:
        self.timeout_ms = timeout_ms
        self.attempts = attempts
        self.clock = twisted_task.Clock()
        self.links = Recorder()
        self.owner = Recorder()
        self.listener = Recorder()
        self.lifecycle = Recorder()
        self.counters = telemetry.Counters()
        self.records = telemetry.RecordLog()
        self.router = router.Router(
            hello=messages.Hello(
                instance=ids.InstanceId('a0'),
                incarnation=ids.Incarnation('own'),
                region=_REGION,
                data_centre=_DATA_CENTRE,
            ),
            links=self.links,
            owner=self.owner,
            clock=self.clock.seconds,
            reporter=ingress.CallReporter(
                counters=self.counters,
                records=self.records,
                wall_clock=lambda: 1000,
                clock=self.clock.seconds,
            ),
            random=random.Random(1),
        )
        self.router.start(reactor=self.clock)
        self.router.listener = self.listener
        self.router.lifecycle = self.lifecycle
        if backends:
            self.configure(*backends)
            self._fill_budgets()

    def configure(self, *backends: replica.InstanceRecord) -> None:
        """Replace the snapshot."""
        document = settings.TeamDocument(
            team=_TEAM,
            services=(
                settings.ServiceSettings(
                    name=_SERVICE,
                    floors=(),
                    queue_limit=8,
                    cold_start_ms=0,
                ),
            ),
            routes=(
                settings.RouteSettings(
                    host='desk.team',
                    path_prefix='/',
                    service=_SERVICE,
                    rank=states.Rank.NORMAL,
                    timeout_ms=self.timeout_ms,
                    attempts=self.attempts,
                    idempotent_methods=('GET',),
                ),
            ),
        )
        self.router.post(
            events.SnapshotReplaced(
                snapshot=snapshots.build_snapshot(
                    documents=[document],
                    instances=backends,
                    tree_revision=ids.Revision(1),
                    list_revision=ids.Revision(1),
                ),
            ),
        )

    def request(
        self,
        caller: int,
        method: bytes = b'GET',
        target: bytes = b'/x',
        **fields: str,
    ) -> None:
        """Let a caller send a request with header fields."""
        headers = tuple(
            (name.replace('_', '-').encode(), content.encode())
            for name, content in fields.items()
        )
        self.router.post(
            events.RequestReceived(
                caller=ids.CallerId(caller),
                method=method,
                target=target,
                headers=((b'host', b'desk.team'), *headers),
                body=b'',
            ),
        )

    def take_calls(self) -> list[events.SendCall]:
        """Remove and return the calls sent to other nodes."""
        return [
            message
            for message in self.links.take()
            if isinstance(message, events.SendCall)
        ]

    def send(self, caller: int, **fields: str) -> events.SendCall:
        """Let a caller send a POST request; return the call sent for it."""
        self.request(caller, b'POST', **fields)
        call = single(self.take_calls())
        return call

    def take_answers(self) -> list[events.AnswerReady]:
        """Remove and return the answers to callers."""
        return [
            message
            for message in self.listener.take()
            if isinstance(message, events.AnswerReady)
        ]

    def answer_fields(self) -> dict[str, str]:
        """Return status and header fields of the only answer."""
        answer = single(self.take_answers())
        return {
            'status': str(answer.status),
            **{
                name.decode().removeprefix('medlarquay-'): content.decode()
                for name, content in answer.headers
            },
        }

    def answer(self, call_id: ids.CallId, body: bytes = b'') -> None:
        """Let the owner answer a call."""
        self.router.post(
            messages.CallAnswered(
                call_id=call_id,
                status=200,
                headers=(),
                body=body,
            ),
        )

    def refuse(
        self,
        call_id: ids.CallId,
        reason: states.RefusalReason,
        **changes: bool,
    ) -> None:
        """Let the owner refuse a call."""
        self.router.post(
            messages.CallRefused(call_id=call_id, reason=reason, **changes),
        )

    def lose(self, call_id: ids.CallId) -> None:
        """Let the link of a sent call fail."""
        self.router.post(
            messages.CallUnknown(
                call_id=call_id,
                reason=states.RefusalReason.OWNER_LOST,
            ),
        )

    def _fill_budgets(self) -> None:
        """Give enough tokens for any test; budgets have their own tests."""
        snapshot = self.router.table.snapshot
        assert snapshot is not None
        for service in snapshot.services.values():
            self.router.routing_state.budgets.for_service(service).tenths = 100
