"""Decisions of admission."""

import functools

from medlarquay import ids, states
from medlarquay.admission import (
    admission,
    choose_rank,
    expected_wait,
    inputs,
    queued_work,
    refuse,
    running_work,
    start,
)

__all__ = ('Decision', 'decide')

Decision = tuple[start.Start | refuse.Refuse, ...]

# Share of the time between due and deadline for which a request may wait.
_LATE_SHARE = 0.5


@functools.singledispatch
def decide(
    event: object,
    state: admission.Admission,
    now: float,
) -> Decision:
    """Change the state for an event and return what is to be done.

    Parameters
    ----------
    event : object
        One of the events of this package.
    state : Admission
        State that the event changes.
    now : float
        Seconds on the monotonic clock.

    Returns
    -------
    tuple of Start or Refuse
        In order.

    Raises
    ------
    TypeError
        If the type of the event is unknown.
    """
    raise TypeError(f'unexpected event {type(event).__name__}')


@decide.register
def _arrived(
    event: inputs.Arrived,
    state: admission.Admission,
    now: float,
) -> Decision:
    state.shares.advance(now)
    reason = _refusal_on_arrival(event, state, now)
    if reason is not None:
        return (refuse.Refuse(exchange=event.exchange, reason=reason),)
    work = _queued_work(event, state)
    if not state.queued_ranks and _may_start(event.rank, state, now):
        return (_start(work, event.rank, state, now),)
    state.queues[event.rank][event.exchange] = work
    state.queued_ranks[event.exchange] = event.rank
    return _fill_slots(state, now)


@decide.register
def _finished(
    event: inputs.Finished,
    state: admission.Admission,
    now: float,
) -> Decision:
    state.shares.advance(now)
    work = _release(event.exchange, state)
    if work is not None:
        state.times.add(work.rank, work.route, now - work.started_at)
    return _fill_slots(state, now)


@decide.register
def _cancelled(
    event: inputs.Cancelled,
    state: admission.Admission,
    now: float,
) -> Decision:
    state.shares.advance(now)
    rank = state.queued_ranks.pop(event.exchange, None)
    if rank is None:
        _release(event.exchange, state)
    else:
        state.queues[rank].pop(event.exchange)
    return _fill_slots(state, now)


@decide.register
def _shed(
    event: inputs.WasShed,
    state: admission.Admission,
    now: float,
) -> Decision:
    state.shares.advance(now)
    held = _release(event.exchange, state) is not None
    if held and not state.bounds.exclusive:
        state.limit.reduce(now)
    return _fill_slots(state, now)


@decide.register
def _checked(
    event: inputs.ClockChecked,
    state: admission.Admission,
    now: float,
) -> Decision:
    state.shares.advance(now)
    waiting = [
        work for queue in state.queues.values() for work in queue.values()
    ]
    refused = _refuse_queued(
        [work.exchange for work in waiting if work.deadline <= now],
        states.RefusalReason.DEADLINE_PASSED,
        state,
    )
    hopeless = _refuse_queued(
        [
            work.exchange
            for work in waiting
            if work.latest_start <= now < work.deadline
        ],
        states.RefusalReason.DEADLINE_UNREACHABLE,
        state,
    )
    return refused + hopeless + _fill_slots(state, now)


@decide.register
def _emptied(
    event: inputs.QueuesEmptied,
    state: admission.Admission,
    now: float,
) -> Decision:
    return _refuse_queued(list(state.queued_ranks), event.reason, state)


@decide.register
def _changed(
    event: inputs.LimitsChanged,
    state: admission.Admission,
    now: float,
) -> Decision:
    state.shares.advance(now)
    state.bounds = event.limits
    state.limit.configure(event.limits.slots)
    return _fill_slots(state, now)


@decide.register
def _started(
    event: inputs.BackendStarted,
    state: admission.Admission,
    now: float,
) -> Decision:
    state.limit.start_cold(now=now, warm_at=now + state.bounds.cold_start)
    return _fill_slots(state, now)


def _refusal_on_arrival(
    event: inputs.Arrived,
    state: admission.Admission,
    now: float,
) -> states.RefusalReason | None:
    if event.deadline <= now:
        return states.RefusalReason.DEADLINE_PASSED
    if len(state.queues[event.rank]) >= state.bounds.queue_limit:
        return _load_reason(states.RefusalReason.QUEUE_FULL, state, now)
    if len(state.running) >= state.limit.usable(now):
        wait = expected_wait.expected_wait(state, event, now)
        needed = wait + state.times.cautious(event.rank, event.route)
        if not event.last and now + needed > event.due:
            # Another owner may answer in time.
            return _load_reason(
                states.RefusalReason.DEADLINE_UNREACHABLE, state, now
            )
    else:
        # A free slot costs nothing, so an even chance is worth a try.
        needed = state.times.of_route(event.rank, event.route)
    if now + needed > event.deadline:
        state.times.relax(event.rank, event.route)
        return _load_reason(
            states.RefusalReason.DEADLINE_UNREACHABLE, state, now
        )
    return None


def _queued_work(
    event: inputs.Arrived,
    state: admission.Admission,
) -> queued_work.QueuedWork:
    service = state.times.of_route(event.rank, event.route)
    due = min(event.due, event.deadline)
    # A route without samples takes the time of the others, or its refusal
    # would come when the caller has gone.
    start_by = event.deadline - (service or state.times.overall)
    # A late request starts only while nothing else waits. If the peak lasts,
    # an early refusal lets the caller return in time.
    return queued_work.QueuedWork(
        exchange=event.exchange,
        deadline=event.deadline,
        service=state.times.cautious(event.rank, event.route),
        latest_start=min(start_by, due + _LATE_SHARE * (event.deadline - due)),
        due=due,
        route=event.route,
    )


def _load_reason(
    reason: states.RefusalReason,
    state: admission.Admission,
    now: float,
) -> states.RefusalReason:
    return states.RefusalReason.COLD_START if state.limit.cold(now) else reason


def _fill_slots(state: admission.Admission, now: float) -> Decision:
    if not state.queued_ranks:
        return ()
    decided: list[start.Start | refuse.Refuse] = []
    slots = state.limit.usable(now)
    while len(state.running) < slots:
        rank = choose_rank.choose_rank(state, slots)
        if rank is None:
            break
        decided.append(_take_first(rank, state, now))
    return tuple(decided)


def _take_first(
    rank: states.Rank,
    state: admission.Admission,
    now: float,
) -> start.Start | refuse.Refuse:
    work = state.pop_next(rank, now)
    exchange = work.exchange
    reason = None
    if work.deadline <= now:
        reason = states.RefusalReason.DEADLINE_PASSED
    elif now + state.times.of_route(rank, work.route) > work.deadline:
        state.times.relax(rank, work.route)
        reason = states.RefusalReason.DEADLINE_UNREACHABLE
    if reason is not None:
        return refuse.Refuse(exchange=exchange, reason=reason)
    return _start(work, rank, state, now)


def _start(
    work: queued_work.QueuedWork,
    rank: states.Rank,
    state: admission.Admission,
    now: float,
) -> start.Start:
    state.running[work.exchange] = running_work.RunningWork(
        rank=rank,
        started_at=now,
        route=work.route,
    )
    state.shares.change(rank, 1)
    return start.Start(exchange=work.exchange)


def _may_start(
    rank: states.Rank,
    state: admission.Admission,
    now: float,
) -> bool:
    slots = state.limit.usable(now)
    if len(state.running) >= slots:
        return False
    return choose_rank.is_open(state, rank, slots)


def _release(
    exchange: ids.ExchangeId,
    state: admission.Admission,
) -> running_work.RunningWork | None:
    work = state.running.pop(exchange, None)
    if work is not None:
        state.shares.change(work.rank, -1)
    return work


def _refuse_queued(
    exchanges: list[ids.ExchangeId],
    reason: states.RefusalReason,
    state: admission.Admission,
) -> Decision:
    for exchange in exchanges:
        state.queues[state.queued_ranks.pop(exchange)].pop(exchange)
    return tuple(
        refuse.Refuse(exchange=refused, reason=reason) for refused in exchanges
    )
