"""Tests of the accounting of control frames on the uplink."""

from twisted.internet import testing

from medlarquay import events, messages
from medlarquay.tasks import child_link_state, relay
from medlarquay.tasks.tests import ingress_bench
from medlarquay.testing import memory_link


def test_control_frames_are_reported_to_the_uplink() -> None:
    """Guards against pacing of answers that ignores the control frames."""
    clock = testing.MemoryReactorClock()
    tested_relay = relay.Relay(reactor=clock, clock=clock.seconds)
    uplink = ingress_bench.Recorder()
    tested_relay.uplink = uplink
    sent: list[bytes] = []
    link = memory_link.MemoryLink(on_send=sent.append, on_close=lambda: None)
    tested_relay.write(
        child_link_state.ChildLinkState(link=link, silent_at=1),
        messages.Probe(nonce=1),
    )
    reported = ingress_bench.single(uplink.take())
    assert reported == events.BytesSent(length=len(sent[0]))
