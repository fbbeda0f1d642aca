"""Decisions of admission, one event at a time."""

from types import MappingProxyType

import pytest

from medlarquay import admission, ids, states

_REASON = states.RefusalReason
_FLOORS = MappingProxyType(dict.fromkeys(states.Rank, 0.2))


def _state(*, slots: int = 1, cold_start: float = 0) -> admission.Admission:
    return admission.Admission(
        bounds=admission.Limits(
            slots=slots,
            floors=_FLOORS,
            queue_limit=2,
            cold_start=cold_start,
        ),
    )


def _arrive(
    state: admission.Admission,
    number: int,
    *,
    now: float = 0,
    deadline: float = 10,
    rank: states.Rank = states.Rank.NORMAL,
) -> admission.Decisions:
    event = admission.RequestArrived(
        exchange=ids.ExchangeId(number),
        rank=rank,
        deadline=deadline,
    )
    return admission.decide(event, state, now)


def _start(number: int) -> admission.Start:
    return admission.Start(exchange=ids.ExchangeId(number))


def _refuse(number: int, reason: states.RefusalReason) -> admission.Refuse:
    return admission.Refuse(exchange=ids.ExchangeId(number), reason=reason)


def _finish(
    state: admission.Admission,
    number: int,
    now: float,
) -> admission.Decisions:
    event = admission.RequestFinished(exchange=ids.ExchangeId(number))
    return admission.decide(event, state, now)


def test_deadline_is_checked_on_arrival_and_on_leaving_the_queue() -> None:
    """Guards against sending work that nobody waits for."""
    state = _state()
    assert _arrive(state, 1, now=5, deadline=5) == (
        _refuse(1, _REASON.DEADLINE_PASSED),
    )
    assert _arrive(state, 2) == (_start(2),)
    assert not _arrive(state, 3, deadline=3)
    assert not _arrive(state, 4, deadline=9)
    assert _finish(state, 2, 4) == (
        _refuse(3, _REASON.DEADLINE_PASSED),
        _start(4),
    )


def test_pause_drops_queued_work_before_it_starts() -> None:
    """Guards against stale work sent by a process that was paused."""
    state = _state()
    _arrive(state, 1, deadline=100)
    _arrive(state, 2, deadline=3)
    _arrive(state, 3, deadline=190)
    assert admission.next_check(state, 0) == 3
    assert admission.decide(admission.CheckDue(), state, 60) == (
        _refuse(2, _REASON.DEADLINE_PASSED),
    )
    assert _finish(state, 1, 60) == (_start(3),)


def test_unreachable_deadline_is_refused_at_once() -> None:
    """Guards against a caller that waits in vain for a late refusal."""
    state = _state()
    _arrive(state, 1)
    _finish(state, 1, 2)
    _arrive(state, 2, now=2)
    assert _arrive(state, 3, now=2, deadline=4.5) == (
        _refuse(3, _REASON.DEADLINE_UNREACHABLE),
    )


def test_outdated_service_time_is_corrected() -> None:
    """Guards against refusing everything for ever after one slow answer."""
    state = _state()
    _arrive(state, 1, deadline=100)
    _finish(state, 1, 50)
    for number in range(2, 2000):
        decision = _arrive(state, number, now=50, deadline=51)
        if decision == (_start(number),):
            return
    pytest.fail('no request was admitted')


def test_queue_is_bounded_for_each_rank() -> None:
    """Guards against memory use and useless waits in an overload."""
    state = _state()
    for number in (1, 2, 3):
        _arrive(state, number)
    assert _arrive(state, 4) == (_refuse(4, _REASON.QUEUE_FULL),)
    assert not _arrive(state, 5, rank=states.Rank.URGENT)


def test_shed_answer_reduces_slots_for_a_time() -> None:
    """Guards against overrunning a backend server that sheds."""
    state = _state(slots=4)
    for number in (1, 2, 3, 4):
        _arrive(state, number)
    shed = admission.RequestShed(exchange=ids.ExchangeId(1))
    admission.decide(shed, state, 1)
    assert not _arrive(state, 5, now=1)
    assert admission.load_state(state, 1).slots == 3
    assert admission.decide(admission.CheckDue(), state, 1.5) == (_start(5),)


def test_cold_start_ramps_slots() -> None:
    """Guards against a full load on a backend server that has just started."""
    state = _state(slots=4, cold_start=4)
    admission.decide(admission.BackendStarted(), state, 10)
    assert admission.load_state(state, 10).slots == 1
    assert admission.load_state(state, 12).slots == 2
    assert admission.load_state(state, 14).slots == 4


def test_cancel_frees_a_slot_or_a_place() -> None:
    """Guards against slots leaked by callers that have gone."""
    state = _state()
    for number in (1, 2, 3):
        _arrive(state, number)
    queued = admission.RequestCancelled(exchange=ids.ExchangeId(2))
    running = admission.RequestCancelled(exchange=ids.ExchangeId(1))
    assert not admission.decide(queued, state, 1)
    assert admission.decide(running, state, 1) == (_start(3),)


def test_long_work_leaves_a_slot_to_urgent_work() -> None:
    """Guards against urgent work that waits for the end of long work."""
    state = _state(slots=6)
    urgent = states.Rank.URGENT
    bulk = states.Rank.BULK
    _arrive(state, 1, deadline=100, rank=bulk)
    _finish(state, 1, 4)
    for number in range(2, 100):
        _arrive(state, number, now=number + 3, deadline=999, rank=urgent)
        _finish(state, number, number + 3.9)
    now = 103
    for number in range(100, 108):
        _arrive(state, number, now=now, deadline=999, rank=bulk)
    assert admission.load_state(state, now).running == 6 - 1
    assert _arrive(state, 200, now=now, deadline=999, rank=urgent)


def _served(
    state: admission.Admission,
    number: int,
    *,
    route: str,
    seconds: float,
    now: float,
) -> None:
    event = admission.RequestArrived(
        exchange=ids.ExchangeId(number),
        rank=states.Rank.NORMAL,
        deadline=now + 10,
        route=ids.RouteName(route),
    )
    admission.decide(event, state, now)
    _finish(state, number, now + seconds)


def test_a_long_route_does_not_refuse_the_short_one_of_its_rank() -> None:
    """Guards against look-ups refused by the times of approvals.

    Both routes had one estimate, so that look-ups with a limit of 200 ms were
    refused by an idle backend server.
    """
    state = _state()
    for number in range(1, 20):
        _served(state, number, route='approve', seconds=0.3, now=number)
    for number in range(20, 30):
        _served(state, number, route='look-up', seconds=0.015, now=number)
    asked = admission.RequestArrived(
        exchange=ids.ExchangeId(99),
        rank=states.Rank.NORMAL,
        deadline=40.2,
        route=ids.RouteName('look-up'),
    )
    assert admission.decide(asked, state, 40) == (_start(99),)


def test_the_earliest_due_of_a_rank_is_served_first() -> None:
    """Guards against a call of a run that waits behind slower work."""
    state = _state()
    for number, due in ((1, 5.0), (2, 4.0), (3, 0.06)):
        event = admission.RequestArrived(
            exchange=ids.ExchangeId(number),
            rank=states.Rank.NORMAL,
            deadline=10,
            due=due,
        )
        admission.decide(event, state, 0)
    assert _finish(state, 1, 0.01) == (_start(3),)


def test_a_shed_answer_takes_no_slot_from_an_exclusive_owner() -> None:
    """Guards against capacity lost to a server that fails at random.

    Six servers that shed 45 % of their requests with slots free lost most of
    their slots, and the queues ran full.
    """
    state = admission.Admission(
        bounds=admission.Limits(
            slots=2,
            floors=_FLOORS,
            queue_limit=2,
            exclusive=True,
        ),
    )
    _arrive(state, 1)
    _arrive(state, 2)
    admission.decide(
        admission.RequestShed(exchange=ids.ExchangeId(1)), state, 1
    )
    assert _arrive(state, 3, now=1) == (_start(3),)


def _learn(state: admission.Admission, seconds: float) -> None:
    for number in range(100, 120):
        _arrive(state, number, now=number, deadline=number + 9)
        _finish(state, number, number + seconds)


def _ask(
    state: admission.Admission,
    number: int,
    *,
    last: bool,
) -> admission.Decisions:
    event = admission.RequestArrived(
        exchange=ids.ExchangeId(number),
        rank=states.Rank.NORMAL,
        deadline=210,
        due=200.3,
        last_owner=last,
    )
    return admission.decide(event, state, 200)


def test_what_another_owner_may_answer_when_due_is_not_queued() -> None:
    """Guards against a late answer while another server is idle."""
    state = _state()
    _learn(state, 0.5)
    assert _ask(state, 1, last=False) == (_start(1),)
    refused = _refuse(2, _REASON.DEADLINE_UNREACHABLE)
    assert _ask(state, 2, last=False) == (refused,)
    assert not _ask(state, 3, last=True)


def test_late_requests_wait_for_those_that_can_still_be_due() -> None:
    """Guards against a peak in which every request is answered too late."""
    state = _state()
    _learn(state, 0.1)
    for number, due in ((1, 209.0), (2, 200.0), (3, 205.0)):
        event = admission.RequestArrived(
            exchange=ids.ExchangeId(number),
            rank=states.Rank.NORMAL,
            deadline=210,
            due=due,
        )
        admission.decide(event, state, 200)
    assert _finish(state, 1, 200.2) == (_start(3),)
    assert _finish(state, 3, 200.3) == (_start(2),)


def _wait(
    state: admission.Admission,
    number: int,
    *,
    route: str = '',
    due: float,
    deadline: float,
) -> None:
    event = admission.RequestArrived(
        exchange=ids.ExchangeId(number),
        rank=states.Rank.NORMAL,
        route=ids.RouteName(route),
        deadline=deadline,
        due=due,
    )
    admission.decide(event, state, 200)


def test_late_requests_do_not_turn_away_those_that_can_be_due() -> None:
    """Guards against a peak in which a queue of late work refuses the rest.

    Late requests start after all others, so they are no wait for a request
    that can still be answered when due.
    """
    state = _state()
    _learn(state, 0.1)
    for number, due in ((1, 209.0), (2, 200.0), (3, 200.05)):
        _wait(state, number, due=due, deadline=210)
    fresh = admission.RequestArrived(
        exchange=ids.ExchangeId(4),
        rank=states.Rank.NORMAL,
        deadline=210,
        due=200.25,
        last_owner=False,
    )
    state.bounds = admission.Limits(slots=1, floors=_FLOORS, queue_limit=9)
    assert not admission.decide(fresh, state, 200)
    assert _finish(state, 1, 200.1) == (_start(4),)


def test_a_request_that_is_due_too_soon_goes_after_a_safe_one() -> None:
    """Guards against a peak in which every second answer is just late."""
    state = _state()
    for number, seconds in enumerate((0.05, 0.15) * 50):
        _arrive(state, number, now=0, deadline=900)
        _finish(state, number, seconds)
    state.bounds = admission.Limits(slots=1, floors=_FLOORS, queue_limit=9)
    _wait(state, 201, due=300, deadline=300)
    _wait(state, 202, due=200.12, deadline=210)
    _wait(state, 203, due=200.4, deadline=210)
    assert _finish(state, 201, 200.01) == (_start(203),)


def test_a_late_request_is_refused_while_its_caller_can_return() -> None:
    """Guards against late requests held to their deadline by a peak."""
    state = _state()
    _learn(state, 0.1)
    _wait(state, 1, due=204, deadline=204)
    _wait(state, 2, due=200.2, deadline=201.2)
    assert admission.next_check(state, 200) == pytest.approx(200.7)
    assert admission.decide(admission.CheckDue(), state, 200.8) == (
        _refuse(2, _REASON.DEADLINE_UNREACHABLE),
    )


def test_a_route_without_samples_is_refused_before_its_deadline() -> None:
    """Guards against a refusal that reaches nobody.

    A route that more urgent work keeps from running has no samples.
    """
    state = _state()
    _learn(state, 0.1)
    _wait(state, 1, due=204, deadline=204)
    _wait(state, 2, route='new', due=201, deadline=201)
    assert admission.next_check(state, 200) == pytest.approx(200.9)


def test_queued_work_is_refused_when_it_cannot_be_answered_any_more() -> None:
    """Guards against a refusal that comes when nobody waits any more."""
    state = _state()
    _learn(state, 1.0)
    _arrive(state, 1, now=200, deadline=250)
    _arrive(state, 2, now=200, deadline=204)
    assert admission.next_check(state, 200) == pytest.approx(203)
    assert admission.decide(admission.CheckDue(), state, 203.1) == (
        _refuse(2, _REASON.DEADLINE_UNREACHABLE),
    )
