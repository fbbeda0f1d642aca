"""Call links between nodes with a reactor in memory."""

import pytest
from twisted.internet import error, testing
from twisted.python import failure

from medlarquay import (
    codec,
    events,
    ids,
    messages,
    states,
    telemetry,
    transport,
)
from medlarquay.tasks import peer_links, running_clock, uplink
from medlarquay.tasks.tests import ingress_bench
from medlarquay.testing import memory_transport
from medlarquay.transport import fragment

_BYTES_PER_S = 437_500
_STEP_S = 0.005
_LARGE = bytes(90_000)
_LOST = failure.Failure(error.ConnectionLost())


def _request(
    number: int,
    now: float,
    body: bytes = b'',
) -> messages.CallRequest:
    return messages.CallRequest(
        call_id=ids.CallId(number),
        team=ids.TeamName('team'),
        service=ids.ServiceName('desk'),
        method=b'POST',
        target=b'/',
        headers=(),
        body=body,
        rank=states.Rank.NORMAL,
        idempotent=False,
        deadline=now + 5,
    )


class _Far:
    """The accepting side of a link, in memory."""

    def __init__(self, bench: '_Bench', name: str) -> None:
        self.received: list[object] = []
        self._bench = bench
        self._hello = messages.Hello(
            instance=ids.InstanceId(name),
            incarnation=ids.Incarnation('run1'),
            region=ids.RegionName('north'),
            data_centre=ids.DataCentreName('a'),
        )
        self.link = transport.Link.accepting(
            opened=lambda link: self.send(self._hello),
            received=self._receive,
            closed=lambda link: None,
        )
        self.wire = memory_transport.MemoryTransport()
        self.link.makeConnection(self.wire)

    def send(self, message: object) -> None:
        """Send one message to the near side."""
        self.link.send(codec.encode(message, now=self._bench.now))

    def _receive(self, link: transport.Link, frame: bytes) -> None:
        self.received.append(
            codec.decode(frame, now=self._bench.now, peer='test'),
        )


class _Bench:
    """Call links of one node to far sides in memory."""

    def __init__(self) -> None:
        self.now = 100.0
        self.running = running_clock.RunningClock(clock=lambda: self.now)
        self.reactor = testing.MemoryReactorClock()
        self.router = ingress_bench.Recorder()
        self.counters = telemetry.Counters()
        self.links = peer_links.PeerLinks(
            reactor=self.reactor,
            hello=messages.Hello(
                instance=ids.InstanceId('a0'),
                incarnation=ids.Incarnation('own'),
                region=ids.RegionName('north'),
                data_centre=ids.DataCentreName('a'),
            ),
            clock=lambda: self.now,
            running=self.running.seconds,
            counters=self.counters,
            link_bytes_per_s=_BYTES_PER_S,
        )
        self.links.router = self.router
        self.uplink = uplink.Uplink(
            reactor=self.reactor,
            clock=lambda: self.now,
            bytes_per_s=_BYTES_PER_S,
        )
        self.uplink.links = self.links
        self.links.writer.uplink = self.uplink
        self.near: list[transport.Link] = []
        self.wires: list[memory_transport.MemoryTransport] = []

    def call(self, instance: str, number: int, body: bytes = b'') -> None:
        """Send a call to an instance."""
        request = _request(number, self.now, body)
        self.links.post(
            events.SendCall(
                instance=ids.InstanceId(instance),
                host='127.0.0.1',
                port=1,
                request=request,
            ),
        )

    def connect(self) -> None:
        """Let the latest connection attempt succeed."""
        factory = self.reactor.tcpClients[-1][2]
        wire = memory_transport.MemoryTransport()
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(wire)
        self.near.append(protocol)
        self.wires.append(wire)

    def pump(self, far: _Far, position: int = -1) -> None:
        """Carry the bytes written on both sides."""
        near, wire = self.near[position], self.wires[position]
        for _ in range(4):
            sent = wire.value()
            wire.clear()
            far.link.dataReceived(sent)
            answered = far.wire.value()
            far.wire.clear()
            if answered:
                near.dataReceived(answered)

    def pass_time(self, seconds: float) -> None:
        """Let time pass in small steps."""
        for _ in range(round(seconds / _STEP_S)):
            self.now += _STEP_S
            self.running.seconds()
            self.reactor.advance(_STEP_S)

    def pause(self, seconds: float) -> None:
        """Let time pass in which the process does not run."""
        self.now += seconds
        self.reactor.advance(seconds)

    def results(self) -> list[object]:
        """Return the results that reached the router."""
        kinds = (
            messages.CallAnswered,
            messages.CallRefused,
            messages.CallUnknown,
        )
        return [
            message
            for message in self.router.take()
            if isinstance(message, kinds)
        ]


@pytest.fixture
def bench() -> _Bench:
    """Return links without any connection."""
    return _Bench()


def _linked(bench: _Bench) -> _Far:
    """Send the first call over a new link; return its far side."""
    bench.call('a1', 1)
    bench.connect()
    far = _Far(bench, 'a1')
    bench.pump(far)
    return far


def _answered(number: int) -> messages.CallAnswered:
    return messages.CallAnswered(
        call_id=ids.CallId(number),
        status=200,
        headers=(),
        body=b'%d' % number,
    )


def test_an_answer_counts_only_on_the_link_of_its_call(bench: _Bench) -> None:
    """Guards against an answer that crosses from another link or repeats."""
    fars = []
    for number, name in enumerate(('a1', 'a2'), start=1):
        bench.call(name, number)
        bench.connect()
        fars.append(_Far(bench, name))
        bench.pump(fars[-1])
    fars[0].send(_answered(2))
    fars[0].send(_answered(1))
    fars[0].send(_answered(1))
    bench.pump(fars[0], 0)
    assert bench.results() == [_answered(1)]
    dropped = states.DroppedMessage.NO_CALL_ON_LINK
    assert bench.counters.counts[dropped] == 2


def test_no_call_is_sent_to_an_address_of_another_instance(
    bench: _Bench,
) -> None:
    """Guards against an order run by a server of another service."""
    bench.call('a1', 1)
    bench.connect()
    far = _Far(bench, 'z9')
    bench.pump(far)
    assert bench.wires[0].disconnecting
    bench.near[0].connectionLost(_LOST)
    assert [type(message) for message in far.received] == [messages.Hello]
    refused = ingress_bench.only(bench.results())
    assert refused.reason is states.RefusalReason.OWNER_UNREACHABLE


def test_the_run_of_the_owner_is_learned(bench: _Bench) -> None:
    """Guards against keys bound to a run that is not known."""
    bench.links.post(
        events.OpenLink(
            instance=ids.InstanceId('a1'),
            host='127.0.0.1',
            port=1,
        ),
    )
    bench.connect()
    bench.pump(_Far(bench, 'a1'))
    greeted = ingress_bench.only(bench.router.take())
    assert greeted == events.PeerGreeted(
        instance=ids.InstanceId('a1'),
        incarnation=ids.Incarnation('run1'),
    )


def test_a_lost_link_proves_not_run_only_for_calls_not_sent(
    bench: _Bench,
) -> None:
    """Guards against a sent order that is reported as not run."""
    bench.call('a1', 1)
    bench.connect()
    bench.near[0].connectionLost(_LOST)
    bench.call('a1', 2)
    bench.connect()
    bench.pump(_Far(bench, 'a1'))
    bench.near[1].connectionLost(_LOST)
    assert [type(message) for message in bench.results()] == [
        messages.CallRefused,
        messages.CallUnknown,
    ]


def test_a_call_that_waited_past_its_deadline_is_not_sent(
    bench: _Bench,
) -> None:
    """Guards against work sent after a pause without a deadline check."""
    bench.call('a1', 1)
    bench.connect()
    bench.now += 6
    far = _Far(bench, 'a1')
    bench.pump(far)
    refused = ingress_bench.only(bench.results())
    assert refused.reason is states.RefusalReason.DEADLINE_PASSED
    assert [type(message) for message in far.received] == [messages.Hello]


def test_an_expired_call_that_was_not_sent_is_proved_not_run(
    bench: _Bench,
) -> None:
    """Guards against unknown told for a call that never left the node."""
    bench.call('a1', 1)
    bench.links.post(
        events.SendCancel(
            instance=ids.InstanceId('a1'),
            call_id=ids.CallId(1),
            expired=True,
        ),
    )
    refused = ingress_bench.only(bench.results())
    assert refused.reason is states.RefusalReason.OWNER_UNREACHABLE


def _expire(bench: _Bench, number: int = 1) -> None:
    """Let the deadline of a call pass."""
    bench.links.post(
        events.SendCancel(
            instance=ids.InstanceId('a1'),
            call_id=ids.CallId(number),
            expired=True,
        ),
    )


@pytest.mark.parametrize(('silent', 'closed'), [(5, True), (0.5, False)])
def test_a_silent_link_is_closed(
    bench: _Bench,
    silent: float,
    closed: bool,
) -> None:
    """Guards against orders that vanish in a partitioned data centre."""
    _linked(bench)
    bench.pass_time(silent)
    _expire(bench)
    assert bench.wires[0].disconnecting is closed


def test_a_link_whose_answers_wait_their_turn_is_not_closed(
    bench: _Bench,
) -> None:
    """Guards against calls lost because their owner is busy with others."""
    bench.call('a1', 1)
    bench.connect()
    far = _Far(bench, 'a1')
    for _ in range(20):
        bench.pump(far)
        bench.pass_time(0.2)
    _expire(bench)
    assert not bench.wires[0].disconnecting


def test_a_link_that_carries_part_of_an_answer_is_not_silent(
    bench: _Bench,
) -> None:
    """Guards against calls lost because a slow link is taken for cut off."""
    far = _linked(bench)
    bench.pass_time(5)
    part = fragment.Fragment(
        stream=ids.StreamId(1),
        kind=states.FragmentKind.PART,
        content=b'part',
    )
    far.link.send(part.encode())
    # What the near side sent is still on its way.
    bench.near[0].dataReceived(far.wire.value())
    bench.pass_time(0.5)
    _expire(bench)
    assert not bench.wires[0].disconnecting


def test_a_pause_is_not_the_silence_of_a_probed_link(bench: _Bench) -> None:
    """Guards against a healthy link closed, with its calls, after a pause."""
    far = _linked(bench)
    bench.pass_time(1.6)
    assert bench.wires[0].value()
    bench.pause(4)
    _expire(bench)
    assert not bench.wires[0].disconnecting
    # The answer to the probe is read in the same turn, after the timers.
    bench.pump(far)
    bench.pass_time(0.9)
    _expire(bench)
    assert not bench.wires[0].disconnecting


def test_a_link_that_is_cut_off_is_closed_after_a_pause(bench: _Bench) -> None:
    """Guards against a cut-off link that a pause makes look healthy."""
    _linked(bench)
    bench.pass_time(1.6)
    bench.pause(4)
    bench.pass_time(1)
    _expire(bench)
    assert bench.wires[0].disconnecting


def test_a_link_that_is_never_greeted_is_given_up(bench: _Bench) -> None:
    """Guards against calls that wait for a process that is paused."""
    bench.call('a1', 1)
    bench.connect()
    bench.pass_time(1.4)
    bench.call('a1', 2)
    assert not bench.wires[0].disconnecting
    bench.pass_time(1.2)
    assert bench.wires[0].disconnecting
    bench.near[0].connectionLost(_LOST)
    results = bench.results()
    assert [refused.call_id for refused in results] == [1, 2]
    for refused in results:
        assert refused.reason is states.RefusalReason.OWNER_UNREACHABLE
    bench.call('a1', 3)
    bench.connect()
    far = _Far(bench, 'a1')
    bench.pump(far)
    assert far.received[-1].call_id == 3


def test_a_pause_is_not_the_silence_of_a_link_that_opens(
    bench: _Bench,
) -> None:
    """Guards against an owner that is not asked because of a pause."""
    bench.call('a1', 1)
    bench.connect()
    bench.pass_time(0.5)
    bench.pause(4)
    assert not bench.wires[0].disconnecting
    far = _Far(bench, 'a1')
    bench.pump(far)
    assert not bench.wires[0].disconnecting


def test_a_large_call_leaves_whole(bench: _Bench) -> None:
    """Guards against a request that is cut short, or sent twice."""
    far = _linked(bench)
    bench.call('a1', 2, _LARGE)
    bench.pass_time(1)
    bench.pump(far)
    sent = far.received[1:]
    assert [call.call_id for call in sent] == [1, 2]
    assert sent[-1].body == _LARGE
    far.send(_answered(2))
    bench.pump(far)
    assert bench.results() == [_answered(2)]


def test_a_large_call_that_is_on_its_way_is_proved_not_run(
    bench: _Bench,
) -> None:
    """Guards against unknown told for a request that never arrived whole."""
    far = _linked(bench)
    for number in (2, 3, 4):
        bench.call('a1', number, _LARGE)
    bench.pass_time(0.1)
    for number, expired in ((2, True), (3, False)):
        bench.links.post(
            events.SendCancel(
                instance=ids.InstanceId('a1'),
                call_id=ids.CallId(number),
                expired=expired,
            ),
        )
    bench.pass_time(0.1)
    bench.near[0].connectionLost(_LOST)
    bench.pass_time(1)
    bench.pump(far)
    refused, lost, unknown = bench.results()
    assert (refused.call_id, refused.reason) == (
        2,
        states.RefusalReason.DEADLINE_PASSED,
    )
    assert isinstance(lost, messages.CallRefused)
    assert lost.call_id == 4
    # The first call was sent whole before.
    assert isinstance(unknown, messages.CallUnknown)
    assert [call.call_id for call in far.received[1:]] == [1]


def test_a_large_call_that_cannot_arrive_in_time_is_refused(
    bench: _Bench,
) -> None:
    """Guards against a request that is sent to be dropped by its owner."""
    far = _linked(bench)
    for number in range(2, 40):
        bench.call('a1', number, _LARGE)
    bench.pass_time(6)
    bench.pump(far)
    arrived = {call.call_id for call in far.received[1:]}
    refused = {result.call_id for result in bench.results()}
    assert len(arrived) >= 20
    assert refused == set(range(2, 40)) - arrived


def test_a_fragment_for_a_link_that_was_given_up_is_not_sent(
    bench: _Bench,
) -> None:
    """Guards against a call that waits for an answer on another link."""
    _linked(bench)
    outgoing = bench.links.outgoing[ids.InstanceId('a1')]
    bench.pass_time(5)
    bench.call('a1', 2, _LARGE)
    bench.links.abort_if_silent(outgoing)
    bench.links.post(
        events.WriteFragment(
            link=outgoing.number,
            call_id=ids.CallId(2),
            stream=ids.StreamId(1),
            kind=states.FragmentKind.LAST,
            content=b'',
        ),
    )
    bench.near[0].connectionLost(_LOST)
    refused, unknown = bench.results()
    assert refused.call_id == 2
    assert refused.reason is states.RefusalReason.OWNER_UNREACHABLE
    assert isinstance(unknown, messages.CallUnknown)


def test_an_owner_that_closed_in_order_proves_the_rest_not_run(
    bench: _Bench,
) -> None:
    """Guards against unknown told for calls that crossed a planned stop."""
    far = _linked(bench)
    far.link.close_gracefully()
    bench.pump(far)
    bench.near[0].connectionLost(_LOST)
    refused = ingress_bench.only(bench.results())
    assert refused.reason is states.RefusalReason.DRAINING


def test_no_call_is_taken_after_the_links_began_to_close(
    bench: _Bench,
) -> None:
    """Guards against a run whose ingress was told that it is not run."""
    owner = ingress_bench.Recorder()
    bench.links.owner = owner
    near = transport.Link.accepting(
        opened=bench.links.accept,
        received=bench.links.receive_frame,
        closed=bench.links.close_incoming,
    )
    far = transport.Link.connecting(
        path=peer_links.CALL_PATH,
        opened=lambda link: None,
        received=lambda link, frame: None,
        closed=lambda link: None,
    )
    for link in (near, far):
        link.makeConnection(memory_transport.MemoryTransport())
    for _ in range(2):
        _carry(far, near)
        _carry(near, far)
    far.send(codec.encode(_request(1, bench.now), now=bench.now))
    _carry(far, near)
    assert [type(message) for message in owner.take()] == [events.RunCall]
    bench.links.post(events.LifecycleChanged(state=states.NodeState.FLUSHING))
    far.send(codec.encode(_request(2, bench.now), now=bench.now))
    _carry(far, near)
    assert not owner.take()


def _carry(source: transport.Link, target: transport.Link) -> None:
    sent = source.transport.value()
    source.transport.clear()
    target.dataReceived(sent)


def _signs(bench: _Bench) -> list[object]:
    kinds = (events.PeerSilent, events.PeerHeard)
    return [
        message for message in bench.router.take() if isinstance(message, kinds)
    ]


def test_an_owner_without_power_is_told_of_within_a_second(
    bench: _Bench,
) -> None:
    """Guards against calls sent for seconds to a machine without power."""
    far = _linked(bench)
    bench.pass_time(1)
    silent = events.PeerSilent(instance=ids.InstanceId('a1'))
    assert _signs(bench) == [silent]
    bench.pump(far)
    heard = events.PeerHeard(instance=ids.InstanceId('a1'))
    assert _signs(bench) == [heard]


def test_an_owner_that_answers_probes_is_not_silent(bench: _Bench) -> None:
    """Guards against calls taken from an owner that is only busy."""
    bench.call('a1', 1)
    bench.connect()
    far = _Far(bench, 'a1')
    for _ in range(40):
        bench.pump(far)
        bench.pass_time(0.1)
    assert not _signs(bench)


def test_a_silent_link_without_calls_is_closed(bench: _Bench) -> None:
    """Guards against a link that is cut off and used for the next call."""
    _linked(bench)
    bench.pass_time(1)
    bench.links.post(
        events.SendCancel(
            instance=ids.InstanceId('a1'),
            call_id=ids.CallId(1),
        ),
    )
    assert not bench.wires[0].disconnecting
    bench.pass_time(1.5)
    assert bench.wires[0].disconnecting


def test_a_link_that_is_cut_off_under_a_large_call_is_probed(
    bench: _Bench,
) -> None:
    """Guards against large calls sent one by one into a link without end."""
    far = _linked(bench)
    far.send(_answered(1))
    bench.pump(far)
    bench.router.take()
    # It takes over 2 s to leave.
    bench.call('a1', 2, bytes(990_000))
    bench.pass_time(1)
    silent = events.PeerSilent(instance=ids.InstanceId('a1'))
    assert _signs(bench) == [silent]
    bench.pass_time(1.4)
    _expire(bench, 2)
    assert bench.wires[0].disconnecting
