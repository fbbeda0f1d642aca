"""Estimate of the wait for a slot."""

from medlarquay import states
from medlarquay.admission import admission, queued_before, queued_work

__all__ = ('expected_wait',)

# Admitted requests that end late waste a slot. With exponential service times
# this factor raised goodput from 0.90 to 0.91.
_SAFETY_FACTOR = 1.15
# Avoids a division by zero if the floor is 0 or higher ranks hold all slots.
_MIN_SHARE = 0.01


def expected_wait(
    state: admission.Admission,
    work: queued_work.QueuedWork,
    rank: states.Rank,
    now: float,
) -> float:
    """Return the expected wait of a new request for a slot, in seconds.

    Parameters
    ----------
    state : Admission
        State with the time advanced.
    work : QueuedWork
        New request, not queued yet.
    rank : Rank
        Rank of the request.
    now : float
        Seconds on the monotonic clock.

    Notes
    -----
    A rank gets slots in two ways: in its turn, after the queued requests of
    higher ranks and with the slots that these leave, or by its floor, after
    the queue of its own rank only. The shorter of both waits is returned.
    """
    slots = state.slot_limit.usable(now)
    before = queued_before.queued_before(state, work, rank, now)
    rank_time = state.service_times.expected_total(rank, before)
    time_ahead = rank_time
    slots_taken: float = 0
    for other in states.Rank:
        if other is rank:
            break
        time_ahead += state.service_times.expected_total(
            other,
            state.queues[other].values(),
        )
        slots_taken += state.slot_usage.mean_running(other)
    slots_left = max(slots - slots_taken, _MIN_SHARE * slots)
    floor = max(state.bounds.floors.get(rank, 0), _MIN_SHARE)
    wait_in_turn = time_ahead / slots_left
    wait_by_floor = rank_time / (floor * slots)
    return (
        _SAFETY_FACTOR * min(wait_in_turn, wait_by_floor)
        + state.service_times.overall / slots
    )
