"""An owner with a fake clock between recording tasks."""

import itertools
import json
import typing
import uuid
import zlib

from twisted.internet import task as twisted_task

from medlarquay import (
    events,
    ids,
    messages,
    replica,
    settings,
    snapshots,
    states,
    telemetry,
)
from medlarquay.tasks import clocks, owner, task

TEAM = ids.TeamName('agency')
SERVICE = ids.ServiceName('editorial-desk')
OWN = ids.InstanceId('desk-1')
PEER = ids.InstanceId('desk-2')
RUN = ids.Incarnation('a1')
LINK = ids.LinkId(3)


class Recorder(task.Task):
    """Keeps the messages that it receives."""

    def __init__(self, *, name: str) -> None:
        super().__init__(name=name)
        self.seen: list[typing.Any] = []

    def receive(self, message: object) -> None:
        """Keep one message."""
        self.seen.append(message)

    def of_type(self, kind: type) -> list[typing.Any]:
        """Return the messages of one type."""
        return [message for message in self.seen if isinstance(message, kind)]


def bound_key(name: str, *, issued_at: float = 0) -> str:
    """Return the key of a name that RUN remembers."""
    stamp = int(issued_at * 1000)
    number = stamp << 80 | 7 << 76 | 2 << 62 | zlib.crc32(name.encode())
    return f'mq1.{OWN}.{RUN}.{uuid.UUID(int=number)}'


class OwnerBench:
    """An owner with a fake clock between recording tasks."""

    def __init__(self, *, slots: int = 2) -> None:
        self.clock = twisted_task.Clock()
        self.links = Recorder(name='links')
        self.backend = Recorder(name='backend')
        self.router = Recorder(name='router')
        self.lifecycle = Recorder(name='lifecycle')
        self.records = telemetry.RecordLog()
        self.counters = telemetry.Counters()
        self.owner = owner.Owner(
            hello=messages.Hello(
                instance=OWN,
                incarnation=RUN,
                region=ids.RegionName('r'),
                data_centre=ids.DataCentreName('d'),
            ),
            links=self.links,
            reactor=self.clock,
            clock=clocks.Clocks(
                monotonic=self.clock.seconds,
                wall=self.clock.seconds,
            ),
            counters=self.counters,
            records=self.records,
        )
        self.owner.backend = self.backend
        self.owner.router = self.router
        self.owner.lifecycle = self.lifecycle
        self.slots = slots
        self.configure(states.InstanceState.LIVE)

    def configure(self, state: states.InstanceState) -> None:
        """Give the owner a snapshot in which it has a state."""
        document = settings.parse_document(
            team=TEAM,
            content=json.dumps({
                'services': {SERVICE: {}},
                'routes': [],
            }).encode(),
        )
        records = [
            self._record(OWN, state),
            self._record(PEER, states.InstanceState.LIVE),
        ]
        snapshot = snapshots.build_snapshot(
            documents=[document],
            instances=records,
            tree_revision=ids.Revision(1),
            list_revision=ids.Revision(1),
        )
        self.owner.post(events.SnapshotReplaced(snapshot=snapshot))

    def call(
        self,
        number: int,
        *,
        key: str | None = None,
        idempotent: bool = False,
        timeout: float = 10,
        target: str = '/approve/1',
        link: ids.LinkId = LINK,
    ) -> None:
        """Let an ingress send a call; the key ``bound`` is one of RUN."""
        if key == 'bound':
            key = bound_key('77')
        request = messages.CallRequest(
            call_id=ids.CallId(number),
            team=TEAM,
            service=SERVICE,
            method=b'POST',
            target=target.encode(),
            headers=((b'request-timeout-ms', b'1'),),
            body=b'',
            rank=states.Rank.NORMAL,
            idempotent=idempotent,
            deadline=self.clock.seconds() + timeout,
            request_key=ids.RequestKey(key) if key else None,
        )
        self.owner.post(events.RunCall(link=link, request=request))

    def answer(
        self,
        exchange: int,
        *,
        status: int = 200,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b'done',
    ) -> None:
        """Let the backend server answer."""
        self.owner.post(
            events.BackendAnswered(
                exchange=ids.ExchangeId(exchange),
                status=status,
                headers=headers,
                body=body,
            ),
        )

    def fail(self, exchange: int, *, sent: bool = True) -> None:
        """Let an exchange break."""
        self.owner.post(
            events.BackendFailed(
                exchange=ids.ExchangeId(exchange),
                sent=sent,
                connection_refused=False,
            ),
        )

    def crash(self, *exchanges: int) -> None:
        """Let the backend server crash with exchanges in flight."""
        found = tuple(ids.ExchangeId(number) for number in exchanges)
        self.owner.post(events.BackendCrashed(exchanges=found))
        down = states.BackendState.DOWN
        self.owner.post(events.BackendChanged(state=down))
        for number in exchanges:
            self.fail(number)

    def recover(self) -> None:
        """Let the backend server accept connections again."""
        up = states.BackendState.UP
        self.owner.post(events.BackendChanged(state=up))

    def cancel(self, number: int) -> None:
        """Let a caller go."""
        event = events.CancelCall(link=LINK, call_id=ids.CallId(number))
        self.owner.post(event)

    def link_free_at(self, when: float) -> None:
        """Let the uplink tell when all that waits will have left."""
        free_at = dict.fromkeys(states.Rank, when)
        self.owner.post(events.UplinkChanged(free_at=free_at))

    def wait(self, seconds: float) -> None:
        """Let time pass with all timers on time."""
        for _ in range(int(seconds / 0.5)):
            self.clock.advance(0.5)

    def pause(self, seconds: float) -> None:
        """Pause the process: all timers fire late and at once."""
        self.clock.advance(seconds)

    def started(self) -> list[str]:
        """Return the paths sent to the backend server."""
        starts = self.backend.of_type(events.StartRequest)
        return [start.target.decode() for start in starts]

    def told(self) -> dict[int, str]:
        """Return what each call was told last, as short text."""
        replies = self.links.of_type(events.SendReply)
        return {
            reply.message.call_id: _describe(reply.message) for reply in replies
        }

    def _record(
        self,
        instance: ids.InstanceId,
        state: states.InstanceState,
    ) -> replica.InstanceRecord:
        return replica.InstanceRecord(
            instance=instance,
            revision=ids.Revision(1),
            team=TEAM,
            service=SERVICE,
            region=ids.RegionName('r'),
            data_centre=ids.DataCentreName('d'),
            host='127.0.0.1',
            caller_port=1,
            peer_port=2,
            slots=self.slots,
            state=state,
        )


def _describe(message: object) -> str:
    if isinstance(message, messages.CallAnswered):
        kind = 'replayed' if message.replayed else 'run'
        return f'{kind} {message.status}'
    if isinstance(message, messages.CallRefused):
        return f'not-run {message.reason.value}'
    assert isinstance(message, messages.CallUnknown)
    return f'unknown {message.reason.value}'


def play(steps: list[dict[str, typing.Any]]) -> OwnerBench:
    """Replay the steps of a trace; each names a method and its arguments."""
    bench = OwnerBench()
    for step in steps:
        arguments = dict(itertools.islice(step.items(), 1, None))
        positional = arguments.pop('of', [])
        getattr(bench, step['do'])(*positional, **arguments)
    return bench
