"""Large answers of many links on the one link of a machine."""

import statistics

from medlarquay.tasks.tests import uplink_bench

_ANSWERS = 8
# Time that the link needs for one large answer.
_ONE_S = uplink_bench.LARGE_BYTES / uplink_bench.BYTES_PER_S
_SMALL = 99
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
