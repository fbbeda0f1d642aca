"""Transition function of admission control."""

import functools
import math

from medlarquay import ids, states
from medlarquay.admission import (
    admission,
    arrival,
    close,
    fill_slots,
    inputs,
    queued_work,
    refuse,
    running_work,
)

__all__ = ('Decisions', 'decide')

Decisions = fill_slots.Decisions


@functools.singledispatch
def decide(
    event: object,
    state: admission.Admission,
    now: float,
) -> Decisions:
    """Apply an event to the state and return the resulting decisions.

    Parameters
    ----------
    event : object
        One of the types in ``medlarquay.admission.inputs``.
    state : Admission
        State, which is changed in place.
    now : float
        Seconds on the monotonic clock.

    Returns
    -------
    tuple of Start or Refuse
        Decisions, to be carried out in this order.

    Raises
    ------
    TypeError
        If the type of the event is not supported.
    """
    raise TypeError(f'unexpected event {type(event).__name__}')


@decide.register
def _request_arrived(
    event: inputs.RequestArrived,
    state: admission.Admission,
    now: float,
) -> Decisions:
    state.slot_usage.advance(now)
    work = arrival.assess(event, state, now)
    if isinstance(work, states.RefusalReason):
        return (refuse.Refuse(exchange=event.exchange, reason=work),)
    if fill_slots.may_start(work, event.rank, state, now):
        return (fill_slots.start_work(work, event.rank, state, now),)
    state.queues[event.rank][event.exchange] = work
    state.queued_ranks[event.exchange] = event.rank
    return fill_slots.fill_slots(state, now)


@decide.register
def _request_finished(
    event: inputs.RequestFinished,
    state: admission.Admission,
    now: float,
) -> Decisions:
    state.slot_usage.advance(now)
    work = _release(event.exchange, state)
    if work is not None:
        state.service_times.add(work.rank, work.route, now - work.started_at)
        state.answer_bytes.add(work.route, event.answer_bytes)
        state.link.add_answer(event.link_bytes, work.rank, now)
    return fill_slots.fill_slots(state, now)


@decide.register
def _link_backlog_changed(
    event: inputs.LinkBacklogChanged,
    state: admission.Admission,
    now: float,
) -> Decisions:
    state.slot_usage.advance(now)
    state.link.apply_report(event.free_at)
    return fill_slots.fill_slots(state, now)


@decide.register
def _request_cancelled(
    event: inputs.RequestCancelled,
    state: admission.Admission,
    now: float,
) -> Decisions:
    state.slot_usage.advance(now)
    rank = state.queued_ranks.pop(event.exchange, None)
    if rank is None:
        _release(event.exchange, state)
    else:
        state.queues[rank].pop(event.exchange)
    return fill_slots.fill_slots(state, now)


@decide.register
def _request_shed(
    event: inputs.RequestShed,
    state: admission.Admission,
    now: float,
) -> Decisions:
    state.slot_usage.advance(now)
    was_running = _release(event.exchange, state) is not None
    if was_running and not state.bounds.exclusive:
        state.slot_limit.reduce(now)
    return fill_slots.fill_slots(state, now)


@decide.register
def _check_due(
    event: inputs.CheckDue,
    state: admission.Admission,
    now: float,
) -> Decisions:
    state.slot_usage.advance(now)
    waiting = [
        work for queue in state.queues.values() for work in queue.values()
    ]
    expired = [
        _refuse_queued(work, states.RefusalReason.DEADLINE_PASSED, state)
        for work in waiting
        if work.deadline <= now
    ]
    unreachable = [
        _refuse_queued(work, states.RefusalReason.DEADLINE_UNREACHABLE, state)
        for work in waiting
        if work.latest_start <= now < work.deadline
    ]
    late = _refuse_late(state, now)
    return (*expired, *unreachable, *late, *fill_slots.fill_slots(state, now))


@decide.register
def _queues_emptied(
    event: inputs.QueuesEmptied,
    state: admission.Admission,
    now: float,
) -> Decisions:
    waiting = [
        work for queue in state.queues.values() for work in queue.values()
    ]
    return tuple(_refuse_queued(work, event.reason, state) for work in waiting)


@decide.register
def _closing(
    event: inputs.Closing,
    state: admission.Admission,
    now: float,
) -> Decisions:
    state.slot_usage.advance(now)
    state.closes_at = event.closes_at
    return (*_refuse_late(state, now), *fill_slots.fill_slots(state, now))


@decide.register
def _limits_changed(
    event: inputs.LimitsChanged,
    state: admission.Admission,
    now: float,
) -> Decisions:
    state.slot_usage.advance(now)
    state.bounds = event.limits
    state.slot_limit.configure(event.limits.slots)
    state.link.configure(event.limits.link_bytes_per_s)
    return fill_slots.fill_slots(state, now)


@decide.register
def _backend_started(
    event: inputs.BackendStarted,
    state: admission.Admission,
    now: float,
) -> Decisions:
    state.slot_limit.start_cold(now=now, warm_at=now + state.bounds.cold_start)
    return fill_slots.fill_slots(state, now)


def _refuse_late(state: admission.Admission, now: float) -> Decisions:
    """Refuse what a closing backend server won't start in time."""
    if state.closes_at == math.inf:
        return ()
    return tuple(
        _refuse_queued(work, states.RefusalReason.DRAINING, state)
        for work in close.starting_late(state, now)
    )


def _release(
    exchange: ids.ExchangeId,
    state: admission.Admission,
) -> running_work.RunningWork | None:
    work = state.running.pop(exchange, None)
    if work is not None:
        state.slot_usage.change(work.rank, -1)
    return work


def _refuse_queued(
    work: queued_work.QueuedWork,
    reason: states.RefusalReason,
    state: admission.Admission,
) -> refuse.Refuse:
    state.pop(work)
    return refuse.Refuse(exchange=work.exchange, reason=reason)
