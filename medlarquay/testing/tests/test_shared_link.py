"""The emulated link of a machine."""

import dataclasses
import itertools

from twisted.internet import task

from medlarquay.testing import link_conditions, pipe, shared_link

# 1,000 bytes a second.
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
        self.limited = False
        self.pipe = pipe.Pipe(
            reactor=clock,
            link=link,
            outgoing=outgoing,
            limit=self._limit,
            write=lambda content: self.arrived.append((
                clock.seconds(),
                content,
            )),
        )
        link.pipes.add(self.pipe)

    def _limit(self, limited: bool) -> None:  # noqa: FBT001
        self.limited = limited


def _link(**fields: float) -> shared_link.SharedLink:
    conditions = link_conditions.LinkConditions(mbps=_MBPS, **fields)
    return shared_link.SharedLink(conditions=conditions)


def _pass(clock: task.Clock, seconds: int) -> None:
    clock.pump(itertools.repeat(1 / 16, 16 * seconds))


def test_connections_share_the_rate_in_order() -> None:
    """Guards against a link on which each connection has its own rate."""
    clock = task.Clock()
    link = _link()
    first, second = _Sender(clock, link), _Sender(clock, link)
    first.pipe.take(b'x' * 2000)
    second.pipe.take(b'y' * 1000)
    _pass(clock, 4)
    assert first.arrived == [(2, b'x' * 2000)]
    assert second.arrived == [(3, b'y' * 1000)]


def test_received_bytes_do_not_use_the_rate() -> None:
    """Guards against requests that wait for the answers of a machine."""
    clock = task.Clock()
    link = _link()
    answers = _Sender(clock, link)
    requests = _Sender(clock, link, outgoing=False)
    answers.pipe.take(b'x' * 2000)
    requests.pipe.take(b'y' * 1000)
    _pass(clock, 1)
    assert requests.arrived == [(1 / 16, b'y' * 1000)]


def test_a_full_window_stops_the_sender() -> None:
    """Guards against a relay that takes what a slow link would not."""
    clock = task.Clock()
    sender = _Sender(clock, _link())
    sender.pipe.take(b'x' * 65536)
    assert sender.limited
    _pass(clock, 66)
    assert not sender.limited


def test_what_is_held_arrives_later_in_order() -> None:
    """Guards against a cut that loses bytes, which TCP would repeat."""
    clock = task.Clock()
    link = _link()
    sender = _Sender(clock, link)
    sound = link.conditions
    link.change(dataclasses.replace(sound, hold_out=True))
    sender.pipe.take(b'x')
    sender.pipe.take(None)
    _pass(clock, 5)
    assert not sender.arrived
    link.change(sound)
    _pass(clock, 1)
    assert [content for _, content in sender.arrived] == [b'x', None]


def test_a_shorter_delay_does_not_reorder() -> None:
    """Guards against later bytes that overtake earlier ones."""
    clock = task.Clock()
    link = _link(delay_ms=1000)
    sender = _Sender(clock, link)
    sender.pipe.take(b'x')
    link.change(dataclasses.replace(link.conditions, delay_ms=0))
    sender.pipe.take(b'y')
    _pass(clock, 2)
    assert [content for _, content in sender.arrived] == [b'x', b'y']
