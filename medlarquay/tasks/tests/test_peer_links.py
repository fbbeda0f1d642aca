"""Tests for the call links between nodes, with an in-memory reactor."""

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


class _AcceptingSide:
    """In-memory accepting side of a call link."""

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
        """Send one message to the connecting side."""
        self.link.send(codec.encode(message, now=self._bench.now))

    def grant(self, number: int) -> None:
        """Let the connecting side send a call that it offered."""
        self.send(messages.CallGranted(call_id=ids.CallId(number)))

    def requests(self) -> list[messages.CallRequest]:
        """Return the requests that arrived whole."""
        return [
            message
            for message in self.received
            if isinstance(message, messages.CallRequest)
        ]

    def offers(self) -> list[messages.CallOffered]:
        """Return the offers that arrived."""
        return [
            message
            for message in self.received
            if isinstance(message, messages.CallOffered)
        ]

    def cancelled(self) -> list[ids.CallId]:
        """Return the calls that the connecting side cancelled."""
        return [
            message.call_id
            for message in self.received
            if isinstance(message, messages.CallCancel)
        ]

    def _receive(self, link: transport.Link, frame: bytes) -> None:
        self.received.append(
            codec.decode(frame, now=self._bench.now, peer='test'),
        )


class _Bench:
    """Call links of one node to in-memory accepting sides."""

    def __init__(self) -> None:
        self.now = 100.0
        self.running_clock = running_clock.RunningClock(clock=lambda: self.now)
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
            running_clock=self.running_clock.seconds,
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
        self.connecting: list[transport.Link] = []
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
                offered_first=len(body) >= messages.LARGE_BODY_BYTES,
            ),
        )

    def connect(self) -> None:
        """Complete the latest connection attempt."""
        factory = self.reactor.tcpClients[-1][2]
        wire = memory_transport.MemoryTransport()
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(wire)
        self.connecting.append(protocol)
        self.wires.append(wire)

    def pump(self, accepting: _AcceptingSide, position: int = -1) -> None:
        """Transfer the bytes written on both sides."""
        connecting, wire = self.connecting[position], self.wires[position]
        for _ in range(4):
            sent = wire.value()
            wire.clear()
            accepting.link.dataReceived(sent)
            answered = accepting.wire.value()
            accepting.wire.clear()
            if answered:
                connecting.dataReceived(answered)

    def pass_time(self, seconds: float) -> None:
        """Advance the time in small steps."""
        for _ in range(round(seconds / _STEP_S)):
            self.now += _STEP_S
            self.running_clock.seconds()
            self.reactor.advance(_STEP_S)

    def pause(self, seconds: float) -> None:
        """Advance the time while the process is paused."""
        self.now += seconds
        self.reactor.advance(seconds)

    def results(self) -> list[object]:
        """Return the results that the router received."""
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
    """Return a node without any call link."""
    return _Bench()


def _linked(bench: _Bench) -> _AcceptingSide:
    """Send the first call over a new link; return the accepting side."""
    bench.call('a1', 1)
    bench.connect()
    accepting = _AcceptingSide(bench, 'a1')
    bench.pump(accepting)
    return accepting


def _call_granted(
    bench: _Bench, accepting: _AcceptingSide, number: int
) -> None:
    """Send a large call, which the owner grants at once."""
    bench.call('a1', number, _LARGE)
    accepting.grant(number)
    bench.pump(accepting)


def _answered(number: int) -> messages.CallAnswered:
    return messages.CallAnswered(
        call_id=ids.CallId(number),
        status=200,
        headers=(),
        body=b'%d' % number,
    )


def test_answer_is_accepted_only_on_link_of_its_call(bench: _Bench) -> None:
    """Guards against an answer from the wrong link, or a repeated one."""
    accepting_sides = []
    for number, name in enumerate(('a1', 'a2'), start=1):
        bench.call(name, number)
        bench.connect()
        accepting_sides.append(_AcceptingSide(bench, name))
        bench.pump(accepting_sides[-1])
    accepting_sides[0].send(_answered(2))
    accepting_sides[0].send(_answered(1))
    accepting_sides[0].send(_answered(1))
    bench.pump(accepting_sides[0], 0)
    assert bench.results() == [_answered(1)]
    dropped = states.DroppedMessage.NO_CALL_ON_LINK
    assert bench.counters.counts[dropped] == 2


def test_call_is_not_sent_to_another_instance(
    bench: _Bench,
) -> None:
    """Guards against a call run by a backend server of another service.

    The address may have been reassigned to another instance.
    """
    bench.call('a1', 1)
    bench.connect()
    accepting = _AcceptingSide(bench, 'z9')
    bench.pump(accepting)
    assert bench.wires[0].disconnecting
    bench.connecting[0].connectionLost(_LOST)
    assert [type(message) for message in accepting.received] == [messages.Hello]
    refused = ingress_bench.single(bench.results())
    assert refused.reason is states.RefusalReason.OWNER_UNREACHABLE


def test_hello_reports_incarnation_of_owner(bench: _Bench) -> None:
    """Guards against idempotency keys bound to an unknown incarnation."""
    bench.links.post(
        events.OpenLink(
            instance=ids.InstanceId('a1'),
            host='127.0.0.1',
            port=1,
        ),
    )
    bench.connect()
    bench.pump(_AcceptingSide(bench, 'a1'))
    greeted = ingress_bench.single(bench.router.take())
    assert greeted == events.PeerGreeted(
        instance=ids.InstanceId('a1'),
        incarnation=ids.Incarnation('run1'),
    )


def test_lost_link_refuses_only_calls_not_sent(
    bench: _Bench,
) -> None:
    """Guards against a call that was sent and is reported as not run."""
    bench.call('a1', 1)
    bench.connect()
    bench.connecting[0].connectionLost(_LOST)
    bench.call('a1', 2)
    bench.connect()
    bench.pump(_AcceptingSide(bench, 'a1'))
    bench.connecting[1].connectionLost(_LOST)
    assert [type(message) for message in bench.results()] == [
        messages.CallRefused,
        messages.CallUnknown,
    ]


def test_expired_call_is_not_sent_when_link_opens(
    bench: _Bench,
) -> None:
    """Guards against an expired call sent once its link opens.

    The link may open late, or be handled late after a pause of the process.
    """
    bench.call('a1', 1)
    bench.connect()
    bench.now += 6
    accepting = _AcceptingSide(bench, 'a1')
    bench.pump(accepting)
    refused = ingress_bench.single(bench.results())
    assert refused.reason is states.RefusalReason.DEADLINE_PASSED
    assert [type(message) for message in accepting.received] == [messages.Hello]


def test_expired_unsent_call_is_refused(
    bench: _Bench,
) -> None:
    """Guards against an unknown outcome of a call that was never sent."""
    bench.call('a1', 1)
    bench.links.post(
        events.SendCancel(
            instance=ids.InstanceId('a1'),
            call_id=ids.CallId(1),
            expired=True,
        ),
    )
    refused = ingress_bench.single(bench.results())
    assert refused.reason is states.RefusalReason.OWNER_UNREACHABLE


def _expire(bench: _Bench, number: int = 1) -> None:
    """Cancel a call because its deadline has passed."""
    bench.links.post(
        events.SendCancel(
            instance=ids.InstanceId('a1'),
            call_id=ids.CallId(number),
            expired=True,
        ),
    )


@pytest.mark.parametrize(('silent', 'closed'), [(5, True), (0.5, False)])
def test_silent_link_is_closed(
    bench: _Bench,
    silent: float,
    closed: bool,
) -> None:
    """Guards against calls lost on a link to a partitioned data centre."""
    _linked(bench)
    bench.pass_time(silent)
    _expire(bench)
    assert bench.wires[0].disconnecting is closed


def test_link_with_queued_answers_is_not_closed(
    bench: _Bench,
) -> None:
    """Guards against calls lost because their owner is busy with others.

    The owner answers probes, but its answers wait to be sent.
    """
    bench.call('a1', 1)
    bench.connect()
    accepting = _AcceptingSide(bench, 'a1')
    for _ in range(20):
        bench.pump(accepting)
        bench.pass_time(0.2)
    _expire(bench)
    assert not bench.wires[0].disconnecting


def test_link_with_partial_answer_is_not_silent(
    bench: _Bench,
) -> None:
    """Guards against calls lost because a slow link counts as cut off.

    Part of an answer arrives before the answer to the probe.
    """
    accepting = _linked(bench)
    bench.pass_time(5)
    part = fragment.Fragment(
        stream=ids.StreamId(1),
        kind=states.FragmentKind.PART,
        content=b'part',
    )
    accepting.link.send(part.encode())
    # The probe has not reached the accepting side yet.
    bench.connecting[0].dataReceived(accepting.wire.value())
    bench.pass_time(0.5)
    _expire(bench)
    assert not bench.wires[0].disconnecting


def test_pause_does_not_close_probed_link(bench: _Bench) -> None:
    """Guards against a healthy link closed, with its calls, after a pause.

    The answer to a probe arrives during the pause, but is read after the
    timers.
    """
    accepting = _linked(bench)
    bench.pass_time(1.6)
    assert bench.wires[0].value()
    bench.pause(4)
    _expire(bench)
    assert not bench.wires[0].disconnecting
    # The answer to the probe is read in the same iteration of the event loop,
    # after the timers.
    bench.pump(accepting)
    bench.pass_time(0.9)
    _expire(bench)
    assert not bench.wires[0].disconnecting


def test_cut_off_link_is_closed_after_pause(bench: _Bench) -> None:
    """Guards against a cut-off link that counts as healthy after a pause."""
    _linked(bench)
    bench.pass_time(1.6)
    bench.pause(4)
    bench.pass_time(1)
    _expire(bench)
    assert bench.wires[0].disconnecting


def test_link_without_hello_is_closed(bench: _Bench) -> None:
    """Guards against calls that wait for a paused process without end.

    Its kernel accepts the connection, but no ``Hello`` follows.
    """
    bench.call('a1', 1)
    bench.connect()
    bench.pass_time(1.4)
    bench.call('a1', 2)
    assert not bench.wires[0].disconnecting
    bench.pass_time(1.2)
    assert bench.wires[0].disconnecting
    bench.connecting[0].connectionLost(_LOST)
    results = bench.results()
    assert [refused.call_id for refused in results] == [1, 2]
    for refused in results:
        assert refused.reason is states.RefusalReason.OWNER_UNREACHABLE
    bench.call('a1', 3)
    bench.connect()
    accepting = _AcceptingSide(bench, 'a1')
    bench.pump(accepting)
    assert accepting.received[-1].call_id == 3


def test_pause_does_not_close_opening_link(
    bench: _Bench,
) -> None:
    """Guards against an opening link closed because this process paused."""
    bench.call('a1', 1)
    bench.connect()
    bench.pass_time(0.5)
    bench.pause(4)
    assert not bench.wires[0].disconnecting
    accepting = _AcceptingSide(bench, 'a1')
    bench.pump(accepting)
    assert not bench.wires[0].disconnecting


def test_large_call_is_sent_once_and_complete(bench: _Bench) -> None:
    """Guards against a large request that is truncated or sent twice."""
    accepting = _linked(bench)
    _call_granted(bench, accepting, 2)
    bench.pass_time(1)
    bench.pump(accepting)
    sent = accepting.requests()
    assert [call.call_id for call in sent] == [1, 2]
    assert sent[-1].body == _LARGE
    accepting.send(_answered(2))
    bench.pump(accepting)
    assert bench.results() == [_answered(2)]


def test_partly_sent_large_call_is_refused(
    bench: _Bench,
) -> None:
    """Guards against an unknown outcome of a call that was sent in part.

    The owner cannot have run a request that did not arrive completely.
    """
    accepting = _linked(bench)
    for number in (2, 3, 4):
        _call_granted(bench, accepting, number)
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
    bench.connecting[0].connectionLost(_LOST)
    bench.pass_time(1)
    bench.pump(accepting)
    refused, lost, unknown = bench.results()
    assert (refused.call_id, refused.reason) == (
        2,
        states.RefusalReason.DEADLINE_PASSED,
    )
    assert isinstance(lost, messages.CallRefused)
    assert lost.call_id == 4
    # The first call had been sent completely.
    assert isinstance(unknown, messages.CallUnknown)
    assert [call.call_id for call in accepting.requests()] == [1]


def test_large_call_that_cannot_meet_deadline_is_refused(
    bench: _Bench,
) -> None:
    """Guards against a request sent although it arrives after its deadline.

    Its owner would drop it, and the link would have carried it in vain.
    """
    accepting = _linked(bench)
    for number in range(2, 40):
        _call_granted(bench, accepting, number)
    bench.pass_time(6)
    bench.pump(accepting)
    arrived = {call.call_id for call in accepting.requests()[1:]}
    refused = {result.call_id for result in bench.results()}
    assert len(arrived) >= 20
    assert refused == set(range(2, 40)) - arrived
    assert set(accepting.cancelled()) == refused


def test_body_of_large_call_waits_for_the_grant(bench: _Bench) -> None:
    """Guards against bodies from many nodes that fill the owner's link."""
    accepting = _linked(bench)
    bench.call('a1', 2, _LARGE)
    bench.pass_time(1)
    bench.pump(accepting)
    assert [offer.body_bytes for offer in accepting.offers()] == [len(_LARGE)]
    assert len(accepting.requests()) == 1
    accepting.grant(2)
    bench.pump(accepting)
    bench.pass_time(1)
    bench.pump(accepting)
    assert accepting.requests()[-1].body == _LARGE


def test_refused_offer_is_reported_as_not_run(bench: _Bench) -> None:
    """Guards against a refused offer that leaves its call waiting."""
    accepting = _linked(bench)
    bench.call('a1', 2, _LARGE)
    refused = messages.CallRefused(
        call_id=ids.CallId(2),
        reason=states.RefusalReason.LINK_FULL,
    )
    accepting.send(refused)
    accepting.grant(2)
    bench.pump(accepting)
    bench.pass_time(1)
    bench.pump(accepting)
    assert bench.results() == [refused]
    assert len(accepting.requests()) == 1


def test_other_results_of_an_offered_call_are_dropped(bench: _Bench) -> None:
    """Guards against an answer to a call whose request was never sent."""
    accepting = _linked(bench)
    bench.call('a1', 2, _LARGE)
    accepting.send(_answered(2))
    bench.pump(accepting)
    assert not bench.results()
    dropped = states.DroppedMessage.NO_CALL_ON_LINK
    assert bench.counters.counts[dropped] == 1


@pytest.mark.parametrize('expired', [True, False])
def test_cancelled_offer_frees_its_place(bench: _Bench, expired: bool) -> None:
    """Guards against an owner that keeps room for a body that never comes."""
    accepting = _linked(bench)
    bench.call('a1', 2, _LARGE)
    cancel = events.SendCancel(
        instance=ids.InstanceId('a1'),
        call_id=ids.CallId(2),
        expired=expired,
    )
    bench.links.post(cancel)
    accepting.grant(2)
    bench.pump(accepting)
    bench.pass_time(1)
    bench.pump(accepting)
    assert accepting.cancelled() == [2]
    assert len(accepting.requests()) == 1
    assert len(bench.results()) == expired


def test_grant_after_the_deadline_sends_nothing(bench: _Bench) -> None:
    """Guards against a body that is sent when nobody waits for its answer."""
    accepting = _linked(bench)
    bench.call('a1', 2, _LARGE)
    bench.pause(6)
    accepting.grant(2)
    bench.pump(accepting)
    bench.pass_time(1)
    bench.pump(accepting)
    refused = bench.results()[-1]
    assert refused.reason is states.RefusalReason.DEADLINE_PASSED
    assert accepting.cancelled() == [2]
    assert len(accepting.requests()) == 1


def test_offered_call_of_a_lost_link_was_not_run(bench: _Bench) -> None:
    """Guards against an unknown outcome of a call that was only offered."""
    accepting = _linked(bench)
    bench.call('a1', 2, _LARGE)
    bench.pump(accepting)
    bench.connecting[0].connectionLost(_LOST)
    refused = bench.results()[0]
    assert isinstance(refused, messages.CallRefused)
    assert refused.call_id == 2


def test_fragment_for_aborted_link_is_not_sent(
    bench: _Bench,
) -> None:
    """Guards against a call that waits for an answer on another link.

    The last fragment of a call may be due after its link was aborted.
    """
    _linked(bench)
    outgoing = bench.links.outgoing[ids.InstanceId('a1')]
    bench.pass_time(5)
    bench.call('a1', 2, _LARGE)
    bench.links.abort_if_cut_off(outgoing)
    bench.links.post(
        events.WriteFragment(
            link=outgoing.number,
            call_id=ids.CallId(2),
            stream=ids.StreamId(1),
            kind=states.FragmentKind.LAST,
            content=b'',
        ),
    )
    bench.connecting[0].connectionLost(_LOST)
    refused, unknown = bench.results()
    assert refused.call_id == 2
    assert refused.reason is states.RefusalReason.OWNER_UNREACHABLE
    assert isinstance(unknown, messages.CallUnknown)


def test_graceful_close_refuses_open_calls(
    bench: _Bench,
) -> None:
    """Guards against unknown outcomes of calls sent during a graceful stop.

    The owner closes the link only after answering all calls it accepted.
    """
    accepting = _linked(bench)
    accepting.link.close_gracefully()
    bench.pump(accepting)
    bench.connecting[0].connectionLost(_LOST)
    refused = ingress_bench.single(bench.results())
    assert refused.reason is states.RefusalReason.DRAINING


def test_no_call_is_accepted_once_links_close(
    bench: _Bench,
) -> None:
    """Guards against a call that is run although reported as not run.

    To the ingress, the close of the link proves that open calls were not run.
    """
    owner = ingress_bench.Recorder()
    bench.links.owner = owner
    accepting = transport.Link.accepting(
        opened=bench.links.accept,
        received=bench.links.receive_frame,
        closed=bench.links.remove_incoming,
    )
    connecting = transport.Link.connecting(
        path=peer_links.CALL_PATH,
        opened=lambda link: None,
        received=lambda link, frame: None,
        closed=lambda link: None,
    )
    for link in (accepting, connecting):
        link.makeConnection(memory_transport.MemoryTransport())
    for _ in range(2):
        _transfer(connecting, accepting)
        _transfer(accepting, connecting)
    connecting.send(codec.encode(_request(1, bench.now), now=bench.now))
    _transfer(connecting, accepting)
    assert [type(message) for message in owner.take()] == [events.RunCall]
    bench.links.post(events.LifecycleChanged(state=states.NodeState.FLUSHING))
    connecting.send(codec.encode(_request(2, bench.now), now=bench.now))
    _transfer(connecting, accepting)
    assert not owner.take()


def _transfer(source: transport.Link, target: transport.Link) -> None:
    sent = source.transport.value()
    source.transport.clear()
    target.dataReceived(sent)


def _silence_events(bench: _Bench) -> list[object]:
    kinds = (events.PeerSilent, events.PeerHeard)
    return [
        message for message in bench.router.take() if isinstance(message, kinds)
    ]


def test_unreachable_owner_is_reported_within_a_second(
    bench: _Bench,
) -> None:
    """Guards against calls sent for seconds to a machine without power."""
    accepting = _linked(bench)
    bench.pass_time(1)
    silent = events.PeerSilent(instance=ids.InstanceId('a1'))
    assert _silence_events(bench) == [silent]
    bench.pump(accepting)
    heard = events.PeerHeard(instance=ids.InstanceId('a1'))
    assert _silence_events(bench) == [heard]


def test_owner_that_answers_probes_is_not_silent(bench: _Bench) -> None:
    """Guards against an owner that is only busy and reported as silent."""
    bench.call('a1', 1)
    bench.connect()
    accepting = _AcceptingSide(bench, 'a1')
    for _ in range(40):
        bench.pump(accepting)
        bench.pass_time(0.1)
    assert not _silence_events(bench)


def test_silent_link_without_calls_is_closed(bench: _Bench) -> None:
    """Guards against a cut-off link that is used for the next call."""
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


def test_link_is_probed_while_large_call_is_sent(
    bench: _Bench,
) -> None:
    """Guards against large calls sent one after another on a cut-off link.

    No call waits for an answer while the first is still being sent.
    """
    accepting = _linked(bench)
    accepting.send(_answered(1))
    bench.pump(accepting)
    bench.router.take()
    # Sending it takes over 2 s.
    bench.call('a1', 2, bytes(990_000))
    bench.pass_time(1)
    silent = events.PeerSilent(instance=ids.InstanceId('a1'))
    assert _silence_events(bench) == [silent]
    bench.pass_time(1.4)
    _expire(bench, 2)
    assert bench.wires[0].disconnecting
