"""A clock that leaves out the pauses of the process."""

import pytest
from twisted.internet import task as twisted_task

from medlarquay import ids, states, telemetry, transport
from medlarquay.tasks import loop_watch, relay, running_clock
from medlarquay.testing import memory_link, memory_transport

_POST = b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n'


class _Process:
    """The event loop of a process that can be paused."""

    def __init__(self) -> None:
        self.clock = twisted_task.Clock()
        self.running = running_clock.RunningClock(clock=self.clock.seconds)
        loop_watch.LoopWatch(
            reactor=self.clock,
            clock=self.clock.seconds,
            histograms=telemetry.Histograms(),
            running=self.running,
        ).start()

    def run(self, seconds: float) -> None:
        """Let time pass in which the process runs."""
        self.clock.pump([0.01] * round(seconds / 0.01))

    def pause(self, seconds: float) -> None:
        """Let time pass in which the process does not run."""
        self.clock.advance(seconds)


def test_the_clock_stands_still_in_a_pause() -> None:
    """Guards against a pause that counts as silence of all peers."""
    process = _Process()
    started = process.running.seconds()
    process.run(3)
    process.pause(7)
    process.run(2)
    ran = process.running.seconds() - started
    assert ran == pytest.approx(5, abs=0.2)


@pytest.mark.parametrize('seconds', [0.9, 60])
def test_a_pause_is_not_the_silence_of_a_child(seconds: float) -> None:
    """Guards against children dropped for what was not read in a pause."""
    process = _Process()
    passing = relay.Relay(
        reactor=process.clock,
        clock=process.clock.seconds,
        running=process.running.seconds,
    )
    ended: list[bool] = []
    passing.accept(
        memory_link.MemoryLink(
            on_send=lambda frame: None,
            on_close=lambda: ended.append(True),
        ),
    )
    process.run(4.5)
    process.pause(seconds)
    assert not ended
    process.run(6)
    assert ended


def test_a_pause_is_not_the_slowness_of_a_caller() -> None:
    """Guards against a whole request refused for what was not read."""
    process = _Process()
    delivered: list[object] = []
    connection = transport.CallerConnection(
        caller=ids.CallerId(1),
        deliver=delivered.append,
        reactor=process.clock,
        running=process.running.seconds,
    )
    connection.makeConnection(memory_transport.MemoryTransport())
    connection.dataReceived(_POST)
    process.run(1)
    process.pause(40)
    connection.dataReceived(b'a')
    process.run(20)
    assert not delivered
    process.run(10)
    assert delivered[0].reason is states.RefusalReason.REQUEST_TOO_SLOW
