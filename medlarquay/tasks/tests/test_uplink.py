"""Large answers of many links on the one link of a machine."""

import math
import statistics

import pytest

from medlarquay import events, messages, pacing, states
from medlarquay.tasks.tests import uplink_bench

_ANSWERS = 8
# Time that the link needs for one large answer.
_ONE_S = uplink_bench.LARGE_BYTES / uplink_bench.BYTES_PER_S
_SMALL = 99
_SOCKET_BYTES = 32_768
# A fragment or two may be under way when a small frame is sent.
_SMALL_FRAME_S = 0.06


def _saturated() -> uplink_bench.UplinkBench:
    """Return links with one large answer each under way."""
    bench = uplink_bench.UplinkBench(ingresses=_ANSWERS + 1)
    for place in range(_ANSWERS):
        bench.answer(place, place, uplink_bench.LARGE_BYTES)
    return bench


def _arrivals(bench: uplink_bench.UplinkBench) -> dict[int, float]:
    return {
        number: arrived
        for ingress in bench.ingresses
        for number, arrived in ingress.arrived.items()
    }


def test_a_small_frame_is_not_late_behind_answers_of_other_links() -> None:
    """Guards against refusals that wait behind large answers for seconds."""
    bench = _saturated()
    bench.run(0.3)
    sent_at = bench.reactor.seconds()
    bench.answer(_ANSWERS, _SMALL, 10)
    bench.run(2)
    assert _arrivals(bench)[_SMALL] - sent_at <= _SMALL_FRAME_S


def test_large_answers_arrive_one_after_the_other() -> None:
    """Guards against answers that share the link and are all late."""
    bench = _saturated()
    started = bench.reactor.seconds()
    bench.run(_ANSWERS * _ONE_S * 1.5)
    arrived = _arrivals(bench).values()
    assert len(arrived) == _ANSWERS
    mean = statistics.mean(arrived) - started
    # In turn the mean is half of the whole time and half of one answer.
    assert mean <= (_ANSWERS + 1) / 2 * _ONE_S * 1.25


def test_a_cancelled_answer_leaves_the_link_to_others() -> None:
    """Guards against a link that carries answers nobody waits for."""
    bench = _saturated()
    for place in range(_ANSWERS - 1):
        bench.cancel(place, place)
    started = bench.reactor.seconds()
    bench.run(_ANSWERS * _ONE_S * 1.5)
    last = _arrivals(bench)[_ANSWERS - 1]
    assert last - started <= 3 * _ONE_S


def test_an_answer_past_its_deadline_leaves_the_link_to_others() -> None:
    """Guards against a link that carries answers nobody waits for."""
    bench = uplink_bench.UplinkBench(ingresses=2)
    started = bench.reactor.seconds()
    for number in range(_ANSWERS):
        bench.answer(
            0,
            number,
            uplink_bench.LARGE_BYTES,
            due=started,
            deadline=started + 2 * _ONE_S,
        )
    bench.run(_ONE_S)
    bench.answer(1, _SMALL, uplink_bench.LARGE_BYTES)
    bench.run(_ANSWERS * _ONE_S)
    assert _arrivals(bench)[_SMALL] - started <= 4 * _ONE_S
    first, *others = bench.ingresses[0].results
    assert isinstance(first, messages.CallAnswered)
    # Nothing of an answer that was dropped on its way is delivered.
    assert len(others) == _ANSWERS - 1
    for told in others:
        assert isinstance(told, messages.CallUnknown)
        assert told.reason is states.RefusalReason.DEADLINE_PASSED


def test_an_unknown_rate_bounds_what_waits_before_the_link() -> None:
    """Guards against the sockets of all links filled at once."""
    bench = uplink_bench.UplinkBench(
        ingresses=3 * _ANSWERS,
        bytes_per_s=math.inf,
    )
    for place in range(3 * _ANSWERS):
        bench.answer(place, place, uplink_bench.LARGE_BYTES)
    bench.run(3 * _ANSWERS * _ONE_S * 1.1)
    assert bench.machine.max_queued_bytes <= _ANSWERS * _SOCKET_BYTES
    assert len(_arrivals(bench)) == 3 * _ANSWERS


def test_a_lost_link_does_not_stop_the_others() -> None:
    """Guards against an uplink that waits for a fragment that never left."""
    bench = uplink_bench.UplinkBench(ingresses=2)
    bench.answer(0, 0, uplink_bench.LARGE_BYTES)
    bench.answer(1, 1, uplink_bench.LARGE_BYTES)
    bench.run(_ONE_S / 2)
    bench.ingresses[0].near.connectionLost()
    bench.run(2 * _ONE_S)
    assert list(_arrivals(bench)) == [1]
    assert not bench.uplink.schedule


def _told(bench: uplink_bench.UplinkBench) -> list[float]:
    """Return the seconds of backlog that the owner was told of, in order."""
    now = bench.reactor.seconds()
    return [
        message.free_at[states.Rank.NORMAL] - now
        for message in bench.owner.take()
        if isinstance(message, events.UplinkChanged)
    ]


def _backlog_s(answers: int) -> float:
    return answers * _ONE_S / pacing.PACED_SHARE


def test_the_owner_is_told_what_waits() -> None:
    """Guards against admission that guesses what waits for the link."""
    bench = _saturated()
    told = _told(bench)
    assert len(told) == _ANSWERS
    assert told[-1] == pytest.approx(_backlog_s(_ANSWERS), rel=0.01)


def test_what_is_not_sent_is_given_back() -> None:
    """Guards against a link that seems full of answers nobody waits for."""
    bench = _saturated()
    bench.owner.take()
    for place in range(1, _ANSWERS - 1):
        bench.cancel(place, place)
    bench.ingresses[_ANSWERS - 1].near.connectionLost()
    bench.run(0.001)
    assert _told(bench)[-1] == pytest.approx(_backlog_s(1), rel=0.05)


def test_the_owner_is_not_told_of_the_passing_of_time() -> None:
    """Guards against a message to the owner for each fragment."""
    bench = _saturated()
    bench.owner.take()
    bench.run((_ANSWERS + 2) * _ONE_S)
    assert not bench.uplink.schedule
    assert len(_told(bench)) <= _ANSWERS
