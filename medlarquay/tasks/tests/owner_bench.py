"""Test bench: an owner with a fake clock and recording neighbours."""

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
INSTANCE = ids.InstanceId('desk-1')
PEER_INSTANCE = ids.InstanceId('desk-2')
INCARNATION = ids.Incarnation('a1')
LINK = ids.LinkId(3)


class Recorder(task.Task):
    """Records the messages that it receives."""

    def __init__(self, *, name: str) -> None:
        super().__init__(name=name)
        self.received: list[typing.Any] = []

    def receive(self, message: object) -> None:
        """Record one message."""
        self.received.append(message)

    def of_type(self, kind: type) -> list[typing.Any]:
        """Return the messages of one type."""
        return [
            message for message in self.received if isinstance(message, kind)
        ]


def bound_key(name: str, *, issued_at: float = 0) -> str:
    """Return a bound key, derived from a name, of the owner's incarnation."""
    stamp = int(issued_at * 1000)
    number = stamp << 80 | 7 << 76 | 2 << 62 | zlib.crc32(name.encode())
    return f'mq1.{INSTANCE}.{INCARNATION}.{uuid.UUID(int=number)}'


class OwnerBench:
    """An owner with a fake clock, whose neighbour tasks are recorders."""

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
                instance=INSTANCE,
                incarnation=INCARNATION,
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

    def configure(
        self,
        state: states.InstanceState,
        *,
        run: ids.InstanceId = INSTANCE,
        service: ids.ServiceName = SERVICE,
    ) -> None:
        """Post a snapshot that lists the owner's instance in a state.

        The backend server beside the owner may be another run than before,
        also of another service.
        """
        own = self._record(run, state, service=service)
        self._replace((own,), service)

    def unlist(self) -> None:
        """Post a snapshot without the owner's instance."""
        self._replace((), SERVICE)

    def call(
        self,
        number: int,
        *,
        key: str | None = None,
        idempotent: bool = False,
        timeout: float = 10,
        target: str = '/approve/1',
        caller: str = '',
        link: ids.LinkId = LINK,
    ) -> None:
        """Post a call of an ingress.

        The key ``bound`` stands for a bound key of the owner's incarnation.
        """
        if key == 'bound':
            key = bound_key('77')
        request = messages.CallRequest(
            call_id=ids.CallId(number),
            team=TEAM,
            service=SERVICE,
            method=b'POST',
            target=target.encode(),
            headers=(
                (b'request-timeout-ms', b'1'),
                *_caller_field(caller),
            ),
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
        """Post the backend server's answer to an exchange."""
        self.owner.post(
            events.BackendAnswered(
                exchange=ids.ExchangeId(exchange),
                status=status,
                headers=headers,
                body=body,
            ),
        )

    def fail(self, exchange: int, *, sent: bool = True) -> None:
        """Post the failure of an exchange."""
        self.owner.post(
            events.BackendFailed(
                exchange=ids.ExchangeId(exchange),
                sent=sent,
                connection_refused=False,
            ),
        )

    def crash(self, *exchanges: int) -> None:
        """Post a crash of the backend server with exchanges in flight."""
        exchange_ids = tuple(ids.ExchangeId(number) for number in exchanges)
        self.owner.post(events.BackendCrashed(exchanges=exchange_ids))
        down = states.BackendState.DOWN
        self.owner.post(events.BackendChanged(state=down))
        for number in exchanges:
            self.fail(number)

    def recover(self) -> None:
        """Post that the backend server accepts connections again."""
        up = states.BackendState.UP
        self.owner.post(events.BackendChanged(state=up))

    def cancel(self, number: int) -> None:
        """Post that an ingress cancelled a call."""
        event = events.CancelCall(link=LINK, call_id=ids.CallId(number))
        self.owner.post(event)

    def link_free_at(self, when: float) -> None:
        """Post a backlog report: the link is free for all ranks at a time."""
        free_at = dict.fromkeys(states.Rank, when)
        self.owner.post(events.UplinkChanged(free_at=free_at))

    def wait(self, seconds: float) -> None:
        """Advance the clock in small steps, so that timers fire on time."""
        for _ in range(int(seconds / 0.5)):
            self.clock.advance(0.5)

    def pause(self, seconds: float) -> None:
        """Advance the clock in one step, as if the process was paused."""
        self.clock.advance(seconds)

    def started_paths(self) -> list[str]:
        """Return the paths sent to the backend server."""
        starts = self.backend.of_type(events.StartRequest)
        return [start.target.decode() for start in starts]

    def outcomes(self) -> dict[int, str]:
        """Return the last result sent for each call, as short text."""
        replies = self.links.of_type(events.SendReply)
        return {
            reply.message.call_id: _describe(reply.message) for reply in replies
        }

    def _replace(
        self,
        own: tuple[replica.InstanceRecord, ...],
        service: ids.ServiceName,
    ) -> None:
        document = settings.parse_document(
            team=TEAM,
            content=json.dumps({
                'services': {SERVICE: {}, service: {}},
                'routes': [],
            }).encode(),
        )
        peer = self._record(
            PEER_INSTANCE,
            states.InstanceState.LIVE,
            node=PEER_INSTANCE,
        )
        snapshot = snapshots.build_snapshot(
            documents=[document],
            instances=[*own, peer],
            tree_revision=ids.Revision(1),
            list_revision=ids.Revision(1),
        )
        self.owner.post(events.SnapshotReplaced(snapshot=snapshot))

    def _record(
        self,
        instance: ids.InstanceId,
        state: states.InstanceState,
        *,
        node: ids.InstanceId = INSTANCE,
        service: ids.ServiceName = SERVICE,
    ) -> replica.InstanceRecord:
        return replica.InstanceRecord(
            instance=instance,
            node=node,
            revision=ids.Revision(1),
            team=TEAM,
            service=service,
            region=ids.RegionName('r'),
            data_centre=ids.DataCentreName('d'),
            host='127.0.0.1',
            caller_port=1,
            peer_port=2,
            slots=self.slots,
            state=state,
        )


def _caller_field(caller: str) -> tuple[tuple[bytes, bytes], ...]:
    if not caller:
        return ()
    return ((b'medlarquay-calling-service', caller.encode()),)


def _describe(message: object) -> str:
    if isinstance(message, messages.CallAnswered):
        kind = 'replayed' if message.replayed else 'run'
        return f'{kind} {message.status}'
    if isinstance(message, messages.CallRefused):
        return f'not-run {message.reason.value}'
    assert isinstance(message, messages.CallUnknown)
    return f'unknown {message.reason.value}'


def replay(steps: list[dict[str, typing.Any]]) -> OwnerBench:
    """Replay the steps of a trace; each names a method and its arguments."""
    bench = OwnerBench()
    for step in steps:
        arguments = dict(itertools.islice(step.items(), 1, None))
        positional = arguments.pop('of', [])
        getattr(bench, step['do'])(*positional, **arguments)
    return bench
