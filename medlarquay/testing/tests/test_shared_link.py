"""Tests of the emulated link of a machine."""

import dataclasses
import itertools

from twisted.internet import task

from medlarquay.testing import link_conditions, pipe, shared_link

# Bandwidth of 1,000 bytes a second.
_MBPS = 0.008


class _Sender:
    def __init__(
        self,
        clock: task.Clock,
        link: shared_link.SharedLink,
        *,
        outgoing: bool = True,
    ) -> None:
        self.arrived: list[tuple[float, bytes | None]] = []
        self.paused = False
        self.pipe = pipe.Pipe(
            reactor=clock,
            link=link,
            outgoing=outgoing,
            set_paused=self._set_paused,
            write=lambda content: self.arrived.append((
                clock.seconds(),
                content,
            )),
        )
        link.pipes.add(self.pipe)

    def _set_paused(self, paused: bool) -> None:  # noqa: FBT001
        self.paused = paused


def _link(**fields: float) -> shared_link.SharedLink:
    conditions = link_conditions.LinkConditions(mbps=_MBPS, **fields)
    return shared_link.SharedLink(conditions=conditions)


def _advance(clock: task.Clock, seconds: int) -> None:
    clock.pump(itertools.repeat(1 / 16, 16 * seconds))


def test_connections_share_the_rate_in_order() -> None:
    """Guards against a separate bandwidth for each connection of a link."""
    clock = task.Clock()
    link = _link()
    first, second = _Sender(clock, link), _Sender(clock, link)
    first.pipe.enqueue(b'x' * 2000)
    second.pipe.enqueue(b'y' * 1000)
    _advance(clock, 4)
    assert first.arrived == [(2, b'x' * 2000)]
    assert second.arrived == [(3, b'y' * 1000)]


def test_received_bytes_do_not_use_the_rate() -> None:
    """Guards against incoming requests delayed by outgoing answers."""
    clock = task.Clock()
    link = _link()
    answers = _Sender(clock, link)
    requests = _Sender(clock, link, outgoing=False)
    answers.pipe.enqueue(b'x' * 2000)
    requests.pipe.enqueue(b'y' * 1000)
    _advance(clock, 1)
    assert requests.arrived == [(1 / 16, b'y' * 1000)]


def test_a_full_window_pauses_the_sender() -> None:
    """Guards against a relay that accepts more bytes than a slow link."""
    clock = task.Clock()
    sender = _Sender(clock, _link())
    sender.pipe.enqueue(b'x' * 65536)
    assert sender.paused
    _advance(clock, 66)
    assert not sender.paused


def test_held_bytes_arrive_in_order_when_released() -> None:
    """Guards against an outage that loses bytes.

    TCP would retransmit them.
    """
    clock = task.Clock()
    link = _link()
    sender = _Sender(clock, link)
    normal = link.conditions
    link.change(dataclasses.replace(normal, hold_out=True))
    sender.pipe.enqueue(b'x')
    sender.pipe.enqueue(None)
    _advance(clock, 5)
    assert not sender.arrived
    link.change(normal)
    _advance(clock, 1)
    assert [content for _, content in sender.arrived] == [b'x', None]


def test_a_shorter_delay_does_not_reorder() -> None:
    """Guards against reordering of bytes when the delay decreases."""
    clock = task.Clock()
    link = _link(delay_ms=1000)
    sender = _Sender(clock, link)
    sender.pipe.enqueue(b'x')
    link.change(dataclasses.replace(link.conditions, delay_ms=0))
    sender.pipe.enqueue(b'y')
    _advance(clock, 2)
    assert [content for _, content in sender.arrived] == [b'x', b'y']
