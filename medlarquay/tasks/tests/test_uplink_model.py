"""Tests that every answer is reported as sent or lost exactly once."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from medlarquay import messages, states
from medlarquay.tasks.tests import uplink_model

_LINKS = 7
_LINK_INDEXES = st.integers(0, _LINKS - 1)
# Answers of these lengths are logged when they are sent.
_LENGTHS = st.sampled_from([33_000, 40_000, 90_000])
_TIMES = st.sampled_from([0.05, 0.5, 2, math.inf])
_ANSWERS = st.tuples(
    st.just('answer'),
    _LINK_INDEXES,
    _LENGTHS,
    st.sampled_from(states.Rank),
    _TIMES,
    _TIMES,
)
_STEPS = st.one_of(
    _ANSWERS,
    st.tuples(st.just('cancel'), st.integers(0, 50)),
    st.tuples(
        st.just('read'), _LINK_INDEXES, st.sampled_from([1, 9000, 99_999])
    ),
    st.tuples(st.just('close'), _LINK_INDEXES),
    st.tuples(st.just('run'), st.sampled_from([0.005, 0.05, 0.5, 1.5])),
)
# A socket that stays full delays other links for at most this long.
_MAX_STALL_S = 1


def _carry_out(model: uplink_model.UplinkModel, step: tuple) -> None:
    name, *arguments = step
    if name == 'run':
        model.run(arguments[0], reading=set())
    else:
        getattr(model, name)(*arguments)


def _check(model: uplink_model.UplinkModel, answer: object) -> None:
    logged = model.deliveries()[answer.number]
    results = model.results(answer)
    result_types = [type(result) for result in results]
    assert len(logged) == 1, (answer, logged)
    if logged == ['left']:
        assert result_types == [messages.CallAnswered] or model.closed(answer)
    elif not answer.cancelled and not model.closed(answer):
        assert result_types == [messages.CallUnknown]
        assert results[0].reason is states.RefusalReason.DEADLINE_PASSED
    for result in results:
        if isinstance(result, messages.CallAnswered):
            assert logged == ['left']
            expected_body = b'%d' % (answer.number % 10) * answer.length
            assert result.body == expected_body


@pytest.mark.parametrize(
    'bytes_per_s',
    [uplink_model.BYTES_PER_S, math.inf],
)
@settings(derandomize=True, max_examples=60, deadline=None)
@given(steps=st.lists(_STEPS, max_size=40))
def test_every_answer_has_exactly_one_result(
    bytes_per_s: float,
    steps: list[tuple],
) -> None:
    """Guards against an answer that is neither sent nor reported lost."""
    model = uplink_model.UplinkModel(links=_LINKS, bytes_per_s=bytes_per_s)
    for step in steps:
        _carry_out(model, step)
    total = sum(answer.length for answer in model.answers)
    longest = total / uplink_model.BYTES_PER_S * 1.25 + _MAX_STALL_S + 0.1
    model.run(longest, reading=set(range(_LINKS)))
    assert not model.failures()
    assert not model.waiting_frames
    assert not model.uplink.fragment_in_flight
    for answer in model.answers:
        _check(model, answer)


@pytest.mark.parametrize(
    'bytes_per_s',
    [uplink_model.BYTES_PER_S, math.inf],
)
@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    first=st.lists(_ANSWERS, min_size=8, max_size=16),
    steps=st.lists(_STEPS, max_size=30),
    stuck=st.sets(_LINK_INDEXES, min_size=3, max_size=_LINKS - 1),
)
def test_unread_links_do_not_delay_other_links(
    bytes_per_s: float,
    first: list[tuple],
    steps: list[tuple],
    stuck: set[int],
) -> None:
    """Guards against pacing that waits for sockets which never drain."""
    model = uplink_model.UplinkModel(links=_LINKS, bytes_per_s=bytes_per_s)
    for step in (*first, *steps):
        _carry_out(model, step)
    total = sum(answer.length for answer in model.answers)
    stalls = (len(stuck) + 1) * _MAX_STALL_S
    longest = total / uplink_model.BYTES_PER_S * 1.25 + stalls
    model.run(longest, reading=set(range(_LINKS)) - stuck)
    assert not model.failures()
    for answer in model.answers:
        if answer.link_index not in stuck:
            _check(model, answer)


@pytest.mark.parametrize('slow', range(1, _LINKS))
def test_slowly_read_links_do_not_delay_other_links(slow: int) -> None:
    """Guards against an answer delayed by those for slow ingresses."""
    model = uplink_model.UplinkModel(
        links=_LINKS,
        bytes_per_s=uplink_model.BYTES_PER_S,
    )
    for link_index in range(slow):
        for _ in range(3):
            model.answer(link_index, 90_000, states.Rank.NORMAL, 1, math.inf)
    model.run(0.3, reading=set())
    model.answer(_LINKS - 1, 90_000, states.Rank.NORMAL, 2, math.inf)
    answer = model.answers[-1]
    # Each slow ingress reads 40 KB/s, at staggered times.
    for turn in range(20):
        model.run(0.05, reading={_LINKS - 1})
        for link_index in range(slow):
            if (turn + 2 * link_index) % 8 == 0:
                model.read(link_index, 16_384)
    assert [type(result) for result in model.results(answer)] == [
        messages.CallAnswered,
    ]
