"""What becomes of a request that arrives at the owner."""

from medlarquay import messages, states
from medlarquay.admission import (
    admission,
    expected_end,
    inputs,
    queued_work,
)

__all__ = ('assess',)

# Share of the time between due and deadline for which a request may wait.
_LATE_SHARE = 0.5

_Assessed = queued_work.QueuedWork | states.RefusalReason


def assess(
    event: inputs.RequestArrived,
    state: admission.Admission,
    now: float,
) -> _Assessed:
    """Return what a new request waits with, or why it is refused."""
    if event.deadline <= now:
        return states.RefusalReason.DEADLINE_PASSED
    if len(state.queues[event.rank]) >= state.bounds.queue_limit:
        return _load_reason(states.RefusalReason.QUEUE_FULL, state, now)
    work = _queued_work(event, state)
    end = expected_end.expected_end(state, work, event.rank, now)
    too_late = event.deadline
    if end.waits and not event.last_owner:
        # Another owner may answer in time.
        too_late = work.due
    if end.answered_at <= too_late:
        return work
    if end.link_bound:
        return states.RefusalReason.LINK_FULL
    if end.answered_at > event.deadline:
        state.times.relax(event.rank, event.route)
        state.answer_bytes.relax(event.route)
    return _load_reason(states.RefusalReason.DEADLINE_UNREACHABLE, state, now)


def _queued_work(
    event: inputs.RequestArrived,
    state: admission.Admission,
) -> queued_work.QueuedWork:
    service = state.times.of_route(event.rank, event.route)
    # The answer of a local caller does not use the link.
    size = 0 if event.local else state.answer_bytes.mean(event.route)
    transfer = state.link.time_of(size)
    due = min(event.due, event.deadline)
    # A route without samples takes the time of the others, or its refusal
    # would come when the caller has gone.
    start_by = event.deadline - (service or state.times.overall) - transfer
    # A late request starts only while nothing else waits. If the peak lasts,
    # an early refusal lets the caller return in time.
    late = due + _LATE_SHARE * (event.deadline - due)
    return queued_work.QueuedWork(
        exchange=event.exchange,
        deadline=event.deadline,
        service=state.times.cautious(event.rank, event.route),
        latest_start=min(start_by, late),
        due=due,
        route=event.route,
        transfer=transfer,
        large=size >= messages.LARGE_ANSWER_BYTES,
    )


def _load_reason(
    reason: states.RefusalReason,
    state: admission.Admission,
    now: float,
) -> states.RefusalReason:
    return (
        states.RefusalReason.COLD_START
        if state.slot_limit.cold(now)
        else reason
    )
