"""Assignment of free slots to queued requests."""

from medlarquay import states
from medlarquay.admission import (
    admission,
    choose_rank,
    next_work,
    queued_work,
    refuse,
    running_work,
    start,
)

__all__ = ('Decisions', 'fill_slots', 'may_start', 'start_work')

Decisions = tuple[start.Start | refuse.Refuse, ...]


def fill_slots(state: admission.Admission, now: float) -> Decisions:
    """Start queued requests, or refuse expired ones, while slots are free."""
    if not state.queued_ranks:
        return ()
    decided: list[start.Start | refuse.Refuse] = []
    slots = state.slot_limit.usable(now)
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
    work = next_work.next_work(state.queues[rank].values(), now)
    state.pop(work)
    reason = _refusal_at_start(work, rank, state, now)
    if reason is not None:
        return refuse.Refuse(exchange=work.exchange, reason=reason)
    return start_work(work, rank, state, now)


def _refusal_at_start(
    work: queued_work.QueuedWork,
    rank: states.Rank,
    state: admission.Admission,
    now: float,
) -> states.RefusalReason | None:
    if work.deadline <= now:
        return states.RefusalReason.DEADLINE_PASSED
    if state.closes_at <= now:
        return states.RefusalReason.DRAINING
    if now + state.service_times.route_mean(rank, work.route) > work.deadline:
        state.service_times.decay(rank, work.route)
        return states.RefusalReason.DEADLINE_UNREACHABLE
    return None


def start_work(
    work: queued_work.QueuedWork,
    rank: states.Rank,
    state: admission.Admission,
    now: float,
) -> start.Start:
    """Assign a slot to a request."""
    state.running[work.exchange] = running_work.RunningWork(
        rank=rank,
        started_at=now,
        route=work.route,
        large=work.large,
    )
    state.slot_usage.change(rank, 1)
    return start.Start(exchange=work.exchange)


def may_start(
    work: queued_work.QueuedWork,
    rank: states.Rank,
    state: admission.Admission,
    now: float,
) -> bool:
    """Return whether a new request may start without being queued."""
    slots = state.slot_limit.usable(now)
    if state.queued_ranks or len(state.running) >= slots:
        return False
    return choose_rank.may_take_slot(state, rank, slots)
