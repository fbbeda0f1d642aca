"""Control frames on the link of the machine."""

from twisted.internet import testing

from medlarquay import events, messages
from medlarquay.tasks import child, relay
from medlarquay.tasks.tests import ingress_bench
from medlarquay.testing import memory_link


def test_control_frames_count_against_the_link() -> None:
    """Guards against large answers paced as if no records were sent."""
    clock = testing.MemoryReactorClock()
    passing = relay.Relay(reactor=clock, clock=clock.seconds)
    uplink = ingress_bench.Recorder()
    passing.uplink = uplink
    sent: list[bytes] = []
    link = memory_link.MemoryLink(on_send=sent.append, on_close=lambda: None)
    passing.write(
        child.Child(link=link, silent_at=1),
        messages.Probe(nonce=1),
    )
    counted = ingress_bench.only(uplink.take())
    assert counted == events.BytesSent(length=len(sent[0]))
