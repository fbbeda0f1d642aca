"""Tests for the clock that excludes the pauses of the process."""

import pytest
from twisted.internet import task as twisted_task

from medlarquay import ids, states, telemetry, transport
from medlarquay.tasks import loop_watch, relay, running_clock
from medlarquay.testing import memory_link, memory_transport

_POST = b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n'


class _Process:
    """Event loop of a process that can be paused."""

    def __init__(self) -> None:
        self.clock = twisted_task.Clock()
        self.running_clock = running_clock.RunningClock(
            clock=self.clock.seconds
        )
        loop_watch.LoopWatch(
            reactor=self.clock,
            clock=self.clock.seconds,
            histograms=telemetry.Histograms(),
            polled_clock=self.running_clock,
        ).start()

    def run(self, seconds: float) -> None:
        """Advance the time while the process runs."""
        self.clock.pump([0.01] * round(seconds / 0.01))

    def pause(self, seconds: float) -> None:
        """Advance the time while the process is paused."""
        self.clock.advance(seconds)


def test_clock_excludes_pauses() -> None:
    """Guards against a pause that counts as inactivity of all peers."""
    process = _Process()
    started = process.running_clock.seconds()
    process.run(3)
    process.pause(7)
    process.run(2)
    ran = process.running_clock.seconds() - started
    assert ran == pytest.approx(5, abs=0.2)


@pytest.mark.parametrize('seconds', [0.9, 60])
def test_pause_does_not_close_link_of_child(seconds: float) -> None:
    """Guards against children dropped after a pause of the process.

    Their heartbeats arrive during the pause, but are read after the timers.
    """
    process = _Process()
    relay_task = relay.Relay(
        reactor=process.clock,
        clock=process.clock.seconds,
        running_clock=process.running_clock.seconds,
    )
    closed: list[bool] = []
    relay_task.accept(
        memory_link.MemoryLink(
            on_send=lambda frame: None,
            on_close=lambda: closed.append(True),
        ),
    )
    process.run(4.5)
    process.pause(seconds)
    assert not closed
    process.run(6)
    assert closed


def test_pause_does_not_count_as_slow_request() -> None:
    """Guards against a request refused as too slow after a pause.

    Its bytes arrive during the pause, but are read after the timers.
    """
    process = _Process()
    delivered: list[object] = []
    connection = transport.CallerConnection(
        caller=ids.CallerId(1),
        deliver=delivered.append,
        reactor=process.clock,
        running_clock=process.running_clock.seconds,
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
