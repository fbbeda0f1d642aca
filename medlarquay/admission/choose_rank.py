"""Selection of the rank that gets the next free slot."""

import math

from medlarquay import states
from medlarquay.admission import admission

__all__ = ('choose_rank', 'may_take_slot')

# Share of the slots that may stay idle, reserved for urgent requests. Small,
# because goodput has to stay at or above 0.9 of capacity.
_IDLE_SHARE = 0.05
# Requests of a rank count as long if their mean service time exceeds that of
# urgent requests by this factor.
_LONG_FACTOR = 4
# Multiple of its floor that a rank gets: some of its requests end after their
# deadline and are worth nothing to the caller.
_FLOOR_MARGIN = 1.12
# Mean number of slots below which urgent requests count as absent.
_ABSENT_SLOTS = 0.02


def choose_rank(
    state: admission.Admission,
    slots: int,
) -> states.Rank | None:
    """Return the rank whose next queued request is to start.

    Parameters
    ----------
    state : Admission
        State with the time advanced.
    slots : int
        Number of usable slots.

    Returns
    -------
    Rank or None
        None when nothing is queued or the free slots are reserved.
    """
    rank_below_floor = _rank_with_largest_deficit(state, slots)
    if rank_below_floor is not None:
        return rank_below_floor
    for rank in states.Rank:
        if state.queues[rank] and _is_unreserved(state, rank, slots):
            return rank
    return None


def may_take_slot(
    state: admission.Admission,
    rank: states.Rank,
    slots: int,
) -> bool:
    """Return whether a new request may take a free slot if none is queued.

    Parameters
    ----------
    state : Admission
        State with the time advanced.
    rank : Rank
        Rank of the request.
    slots : int
        Number of usable slots.
    """
    floor = state.bounds.floors.get(rank, 0)
    deficit = _deficit(state, rank, floor, slots)
    return deficit > 0 or _is_unreserved(state, rank, slots)


def _deficit(
    state: admission.Admission,
    rank: states.Rank,
    floor: float,
    slots: int,
) -> float:
    # The mean of a rank that was idle is far below its floor. Without this
    # bound on running requests the rank would take all slots at once.
    if state.slot_usage.running(rank) >= math.ceil(floor * slots):
        return 0
    return _FLOOR_MARGIN * floor - state.slot_usage.mean_running(rank) / slots


def _rank_with_largest_deficit(
    state: admission.Admission,
    slots: int,
) -> states.Rank | None:
    largest: float = 0
    rank_below_floor = None
    for rank, floor in state.bounds.floors.items():
        if not state.queues[rank]:
            continue
        deficit = _deficit(state, rank, floor, slots)
        if deficit > largest:
            largest = deficit
            rank_below_floor = rank
    return rank_below_floor


def _is_unreserved(
    state: admission.Admission,
    rank: states.Rank,
    slots: int,
) -> bool:
    """Return whether the reserve leaves a free slot to a rank.

    The reserve restricts only requests that take much longer than urgent
    ones, since a slot with a short request is soon free again. Its size is
    the mean number of slots that urgent and short requests held recently,
    plus a small share of all slots; so most of it is in use and at most that
    share is idle.
    """
    if state.slot_usage.mean_running(states.Rank.URGENT) < _ABSENT_SLOTS:
        return True
    longest = _LONG_FACTOR * state.service_times.rank_mean(states.Rank.URGENT)
    if (
        rank is states.Rank.URGENT
        or state.service_times.rank_mean(rank) <= longest
    ):
        return True
    running_long = 0
    reserve = _IDLE_SHARE * slots
    for other in states.Rank:
        if state.service_times.rank_mean(other) > longest:
            running_long += state.slot_usage.running(other)
        else:
            reserve += state.slot_usage.mean_running(other)
    return running_long < slots - int(reserve)
