"""Admission check of a request that arrives at the owner."""

from medlarquay import messages, states
from medlarquay.admission import (
    admission,
    expected_end,
    inputs,
    queued_work,
)

__all__ = ('assess',)

# Share of the time between due and deadline for which a late request may
# stay queued.
_LATE_WAIT_SHARE = 0.5

_WorkOrRefusal = queued_work.QueuedWork | states.RefusalReason


def assess(
    event: inputs.RequestArrived,
    state: admission.Admission,
    now: float,
) -> _WorkOrRefusal:
    """Decide whether a new request is admitted.

    Parameters
    ----------
    event : RequestArrived
        New request.
    state : Admission
        State with the time advanced.
    now : float
        Seconds on the monotonic clock.

    Returns
    -------
    QueuedWork or RefusalReason
        Queue entry of an admitted request, or the reason of the refusal.
    """
    reason = _refusal_before_estimate(event, state, now)
    if reason is not None:
        return reason
    work = _queued_work(event, state)
    end = expected_end.expected_end(state, work, event.rank, now)
    latest_answer_at = event.deadline
    if end.waits and not event.last_attempt:
        # Another owner may still answer by the due time.
        latest_answer_at = work.due
    if end.answered_at <= latest_answer_at:
        return work
    if end.link_bound:
        return states.RefusalReason.LINK_FULL
    if end.answered_at > event.deadline:
        state.service_times.decay(event.rank, event.route)
        state.answer_bytes.decay(event.route)
    return _load_reason(states.RefusalReason.DEADLINE_UNREACHABLE, state, now)


def _refusal_before_estimate(
    event: inputs.RequestArrived,
    state: admission.Admission,
    now: float,
) -> states.RefusalReason | None:
    if event.deadline <= now:
        return states.RefusalReason.DEADLINE_PASSED
    if state.closes_at <= now:
        return states.RefusalReason.DRAINING
    if len(state.queues[event.rank]) >= state.bounds.queue_limit:
        return _load_reason(states.RefusalReason.QUEUE_FULL, state, now)
    return None


def _queued_work(
    event: inputs.RequestArrived,
    state: admission.Admission,
) -> queued_work.QueuedWork:
    service = state.service_times.route_mean(event.rank, event.route)
    # The answer to a local caller does not use the link.
    size = 0 if event.local else state.answer_bytes.mean(event.route)
    transfer = state.link.transfer_time(size)
    due = min(event.due, event.deadline)
    # A route without samples uses the mean over all routes. With 0 s, the
    # refusal would be sent at the deadline, when the caller has gone.
    start_by = (
        event.deadline - (service or state.service_times.overall) - transfer
    )
    # A request past its due time starts only while no other is queued. In a
    # lasting overload an early refusal lets the caller retry in time.
    late_limit = due + _LATE_WAIT_SHARE * (event.deadline - due)
    return queued_work.QueuedWork(
        exchange=event.exchange,
        deadline=event.deadline,
        service=state.service_times.upper_estimate(event.rank, event.route),
        latest_start=min(start_by, late_limit),
        due=due,
        route=event.route,
        transfer=transfer,
        large=size >= messages.LARGE_BODY_BYTES,
    )


def _load_reason(
    reason: states.RefusalReason,
    state: admission.Admission,
    now: float,
) -> states.RefusalReason:
    return (
        states.RefusalReason.COLD_START
        if state.slot_limit.is_cold(now)
        else reason
    )
