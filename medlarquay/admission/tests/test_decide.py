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
    """Guards against sending requests whose caller no longer waits.

    A deadline can pass before the request arrives or while it is queued.
    """
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


def test_process_pause_drops_expired_requests() -> None:
    """Guards against expired requests sent after a pause of the process."""
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
    """Guards against a caller that waits to be refused at its deadline."""
    state = _state()
    _arrive(state, 1)
    _finish(state, 1, 2)
    _arrive(state, 2, now=2)
    assert _arrive(state, 3, now=2, deadline=4.5) == (
        _refuse(3, _REASON.DEADLINE_UNREACHABLE),
    )


def test_outdated_service_time_is_corrected() -> None:
    """Guards against refusing all requests for ever after one slow answer.

    Refused requests give no samples that would correct the estimate.
    """
    state = _state()
    _arrive(state, 1, deadline=100)
    _finish(state, 1, 50)
    for number in range(2, 2000):
        decision = _arrive(state, number, now=50, deadline=51)
        if decision == (_start(number),):
            return
    pytest.fail('no request was admitted')


def test_queue_is_bounded_for_each_rank() -> None:
    """Guards against unbounded memory and futile waits in an overload."""
    state = _state()
    for number in (1, 2, 3):
        _arrive(state, number)
    assert _arrive(state, 4) == (_refuse(4, _REASON.QUEUE_FULL),)
    assert not _arrive(state, 5, rank=states.Rank.URGENT)


def test_shed_answer_reduces_slots_for_a_time() -> None:
    """Guards against overloading a backend server that sheds requests."""
    state = _state(slots=4)
    for number in (1, 2, 3, 4):
        _arrive(state, number)
    shed = admission.RequestShed(exchange=ids.ExchangeId(1))
    admission.decide(shed, state, 1)
    assert not _arrive(state, 5, now=1)
    assert admission.load_state(state, 1).slots == 3
    assert admission.decide(admission.CheckDue(), state, 1.5) == (_start(5),)


def test_cold_start_ramps_slots() -> None:
    """Guards against full load on a backend server that has just started."""
    state = _state(slots=4, cold_start=4)
    admission.decide(admission.BackendStarted(), state, 10)
    assert admission.load_state(state, 10).slots == 1
    assert admission.load_state(state, 12).slots == 2
    assert admission.load_state(state, 14).slots == 4


def test_cancel_frees_slot_or_queue_entry() -> None:
    """Guards against slots leaked by requests that were cancelled."""
    state = _state()
    for number in (1, 2, 3):
        _arrive(state, number)
    queued = admission.RequestCancelled(exchange=ids.ExchangeId(2))
    running = admission.RequestCancelled(exchange=ids.ExchangeId(1))
    assert not admission.decide(queued, state, 1)
    assert admission.decide(running, state, 1) == (_start(3),)


def test_slot_is_reserved_for_urgent_work() -> None:
    """Guards against urgent requests that wait for the end of long ones."""
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


def _run_request(
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


def test_service_times_are_estimated_per_route() -> None:
    """Guards against short requests refused by the times of another route.

    With one estimate for all routes of a rank, look-ups with a limit of
    200 ms were refused by an idle backend server.
    """
    state = _state()
    for number in range(1, 20):
        _run_request(state, number, route='approve', seconds=0.3, now=number)
    for number in range(20, 30):
        _run_request(state, number, route='look-up', seconds=0.015, now=number)
    lookup = admission.RequestArrived(
        exchange=ids.ExchangeId(99),
        rank=states.Rank.NORMAL,
        deadline=40.2,
        route=ids.RouteName('look-up'),
    )
    assert admission.decide(lookup, state, 40) == (_start(99),)


def test_earliest_due_of_a_rank_starts_first() -> None:
    """Guards against a request due soon that waits behind slower ones."""
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


def test_shed_answer_keeps_slots_of_exclusive_owner() -> None:
    """Guards against capacity lost to a backend server that sheds at random.

    Six backend servers that shed 45 % of their requests while slots were free
    lost most of their slots, and the queues ran full.
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
        admission.RequestShed(exchange=ids.ExchangeId(1)),
        state,
        1,
    )
    assert _arrive(state, 3, now=1) == (_start(3),)


def _add_samples(state: admission.Admission, seconds: float) -> None:
    for number in range(100, 120):
        _arrive(state, number, now=number, deadline=number + 9)
        _finish(state, number, number + seconds)


def _arrive_due(
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
        last_attempt=last,
    )
    return admission.decide(event, state, 200)


def test_late_request_is_not_queued_if_another_owner_remains() -> None:
    """Guards against a late answer while another backend server is idle."""
    state = _state()
    _add_samples(state, 0.5)
    assert _arrive_due(state, 1, last=False) == (_start(1),)
    refused = _refuse(2, _REASON.DEADLINE_UNREACHABLE)
    assert _arrive_due(state, 2, last=False) == (refused,)
    assert not _arrive_due(state, 3, last=True)


def test_late_requests_start_after_those_on_time() -> None:
    """Guards against an overload in which every request is answered late."""
    state = _state()
    _add_samples(state, 0.1)
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


def _arrive_on_route(
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


def test_late_requests_do_not_add_to_expected_wait() -> None:
    """Guards against late requests that cause refusals of others.

    Late requests start after all others, so a request that can still be on
    time does not wait for them.
    """
    state = _state()
    _add_samples(state, 0.1)
    for number, due in ((1, 209.0), (2, 200.0), (3, 200.05)):
        _arrive_on_route(state, number, due=due, deadline=210)
    on_time = admission.RequestArrived(
        exchange=ids.ExchangeId(4),
        rank=states.Rank.NORMAL,
        deadline=210,
        due=200.25,
        last_attempt=False,
    )
    state.bounds = admission.Limits(slots=1, floors=_FLOORS, queue_limit=9)
    assert not admission.decide(on_time, state, 200)
    assert _finish(state, 1, 200.1) == (_start(4),)


def test_request_likely_on_time_starts_first() -> None:
    """Guards against an overload in which every second answer is just late.

    This happens if the order is based on the mean service time.
    """
    state = _state()
    for number, seconds in enumerate((0.05, 0.15) * 50):
        _arrive(state, number, now=0, deadline=900)
        _finish(state, number, seconds)
    state.bounds = admission.Limits(slots=1, floors=_FLOORS, queue_limit=9)
    _arrive_on_route(state, 201, due=300, deadline=300)
    _arrive_on_route(state, 202, due=200.12, deadline=210)
    _arrive_on_route(state, 203, due=200.4, deadline=210)
    assert _finish(state, 201, 200.01) == (_start(203),)


def test_late_request_is_refused_before_its_deadline() -> None:
    """Guards against a late request that is queued until its deadline.

    Its caller is to be refused while a retry can still succeed.
    """
    state = _state()
    _add_samples(state, 0.1)
    _arrive_on_route(state, 1, due=204, deadline=204)
    _arrive_on_route(state, 2, due=200.2, deadline=201.2)
    assert admission.next_check(state, 200) == pytest.approx(200.7)
    assert admission.decide(admission.CheckDue(), state, 200.8) == (
        _refuse(2, _REASON.DEADLINE_UNREACHABLE),
    )


def test_route_without_samples_is_refused_before_deadline() -> None:
    """Guards against a refusal sent at the deadline, when the caller has gone.

    A route has no samples as long as higher ranks keep it from running.
    """
    state = _state()
    _add_samples(state, 0.1)
    _arrive_on_route(state, 1, due=204, deadline=204)
    _arrive_on_route(state, 2, route='new', due=201, deadline=201)
    assert admission.next_check(state, 200) == pytest.approx(200.9)


def test_queued_request_is_refused_once_unreachable() -> None:
    """Guards against a refusal sent after its caller stopped waiting."""
    state = _state()
    _add_samples(state, 1.0)
    _arrive(state, 1, now=200, deadline=250)
    _arrive(state, 2, now=200, deadline=204)
    assert admission.next_check(state, 200) == pytest.approx(203)
    assert admission.decide(admission.CheckDue(), state, 203.1) == (
        _refuse(2, _REASON.DEADLINE_UNREACHABLE),
    )
