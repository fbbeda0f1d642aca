"""Tests of large answers of many call links on one machine's link."""

import math
import statistics

import pytest

from medlarquay import events, messages, pacing, states
from medlarquay.tasks.tests import uplink_bench

_ANSWERS = 8
# Time that the machine's link needs to send one large answer.
_ANSWER_S = uplink_bench.LARGE_BYTES / uplink_bench.BYTES_PER_S
_SMALL_CALL = 99
_SOCKET_BYTES = 32_768
# One or two fragments may be in transit when a small frame is sent.
_MAX_SMALL_FRAME_S = 0.06


def _saturated_bench() -> uplink_bench.UplinkBench:
    """Return a bench where all links but the last have a large answer."""
    bench = uplink_bench.UplinkBench(ingresses=_ANSWERS + 1)
    for link_index in range(_ANSWERS):
        bench.answer(link_index, link_index, uplink_bench.LARGE_BYTES)
    return bench


def _arrivals(bench: uplink_bench.UplinkBench) -> dict[int, float]:
    return {
        number: arrived
        for ingress in bench.ingresses
        for number, arrived in ingress.arrived.items()
    }


def test_small_frame_is_not_delayed_by_large_answers() -> None:
    """Guards against refusals that wait seconds behind large answers."""
    bench = _saturated_bench()
    bench.run(0.3)
    sent_at = bench.reactor.seconds()
    bench.answer(_ANSWERS, _SMALL_CALL, 10)
    bench.run(2)
    assert _arrivals(bench)[_SMALL_CALL] - sent_at <= _MAX_SMALL_FRAME_S


def test_large_answers_arrive_one_after_the_other() -> None:
    """Guards against answers that share the link, so that all arrive late."""
    bench = _saturated_bench()
    started = bench.reactor.seconds()
    bench.run(_ANSWERS * _ANSWER_S * 1.5)
    arrived = _arrivals(bench).values()
    assert len(arrived) == _ANSWERS
    mean = statistics.mean(arrived) - started
    # When sent one at a time, the mean is half of the total time plus half of
    # the time of one answer.
    assert mean <= (_ANSWERS + 1) / 2 * _ANSWER_S * 1.25


def test_cancelled_answers_use_no_link_time() -> None:
    """Guards against a link occupied by cancelled answers."""
    bench = _saturated_bench()
    for link_index in range(_ANSWERS - 1):
        bench.cancel(link_index, link_index)
    started = bench.reactor.seconds()
    bench.run(_ANSWERS * _ANSWER_S * 1.5)
    last = _arrivals(bench)[_ANSWERS - 1]
    assert last - started <= 3 * _ANSWER_S


def test_expired_answers_use_no_link_time() -> None:
    """Guards against a link occupied by answers past their deadline."""
    bench = uplink_bench.UplinkBench(ingresses=2)
    started = bench.reactor.seconds()
    for number in range(_ANSWERS):
        bench.answer(
            0,
            number,
            uplink_bench.LARGE_BYTES,
            due=started,
            deadline=started + 2 * _ANSWER_S,
        )
    bench.run(_ANSWER_S)
    bench.answer(1, _SMALL_CALL, uplink_bench.LARGE_BYTES)
    bench.run(_ANSWERS * _ANSWER_S)
    assert _arrivals(bench)[_SMALL_CALL] - started <= 4 * _ANSWER_S
    first, *others = bench.ingresses[0].results
    assert isinstance(first, messages.CallAnswered)
    # An answer that was dropped while being sent is not delivered in part.
    assert len(others) == _ANSWERS - 1
    for result in others:
        assert isinstance(result, messages.CallUnknown)
        assert result.reason is states.RefusalReason.DEADLINE_PASSED


def test_queue_is_bounded_at_an_unknown_rate() -> None:
    """Guards against the sockets of all links being filled at once."""
    bench = uplink_bench.UplinkBench(
        ingresses=3 * _ANSWERS,
        bytes_per_s=math.inf,
    )
    for link_index in range(3 * _ANSWERS):
        bench.answer(link_index, link_index, uplink_bench.LARGE_BYTES)
    bench.run(3 * _ANSWERS * _ANSWER_S * 1.1)
    assert bench.machine.max_queued_bytes <= _ANSWERS * _SOCKET_BYTES
    assert len(_arrivals(bench)) == 3 * _ANSWERS


def test_lost_link_does_not_stall_other_links() -> None:
    """Guards against an uplink that stalls on a fragment of a closed link.

    That fragment is never sent, so its confirmation must not be awaited.
    """
    bench = uplink_bench.UplinkBench(ingresses=2)
    bench.answer(0, 0, uplink_bench.LARGE_BYTES)
    bench.answer(1, 1, uplink_bench.LARGE_BYTES)
    bench.run(_ANSWER_S / 2)
    bench.ingresses[0].near.connectionLost()
    bench.run(2 * _ANSWER_S)
    assert list(_arrivals(bench)) == [1]
    assert not bench.uplink.schedule


def _reported_backlogs_s(bench: uplink_bench.UplinkBench) -> list[float]:
    """Return the backlogs reported to the owner in order, seconds."""
    now = bench.reactor.seconds()
    return [
        message.free_at[states.Rank.NORMAL] - now
        for message in bench.owner.take()
        if isinstance(message, events.UplinkChanged)
    ]


def _backlog_s(answers: int) -> float:
    return answers * _ANSWER_S / pacing.PACED_SHARE


def test_owner_receives_the_backlog() -> None:
    """Guards against admission that has to estimate the backlog."""
    bench = _saturated_bench()
    backlogs = _reported_backlogs_s(bench)
    assert len(backlogs) == _ANSWERS
    assert backlogs[-1] == pytest.approx(_backlog_s(_ANSWERS), rel=0.01)


def test_cancelled_and_lost_answers_reduce_the_backlog() -> None:
    """Guards against a backlog that still counts cancelled answers."""
    bench = _saturated_bench()
    bench.owner.take()
    for link_index in range(1, _ANSWERS - 1):
        bench.cancel(link_index, link_index)
    bench.ingresses[_ANSWERS - 1].near.connectionLost()
    bench.run(0.001)
    assert _reported_backlogs_s(bench)[-1] == pytest.approx(
        _backlog_s(1), rel=0.05
    )


def test_steady_sending_causes_no_backlog_reports() -> None:
    """Guards against a report to the owner for each fragment."""
    bench = _saturated_bench()
    bench.owner.take()
    bench.run((_ANSWERS + 2) * _ANSWER_S)
    assert not bench.uplink.schedule
    assert len(_reported_backlogs_s(bench)) <= _ANSWERS
