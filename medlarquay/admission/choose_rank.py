"""Choice of the rank that gets the next free slot."""

import math

from medlarquay import states
from medlarquay.admission import admission

__all__ = ('choose_rank', 'is_open')

# Share of the slots that may stay idle for urgent work; goodput is to stay at
# or above 0.9 of capacity.
_IDLE_SHARE = 0.05
# Work counts as long when its service time exceeds that of urgent work by
# this factor.
_LONG_FACTOR = 4
# A rank is served by its floor up to this multiple of it, because some of its
# work ends after its deadline and does not count for the caller.
_FLOOR_MARGIN = 1.12
# Mean slots below which urgent work counts as absent.
_ABSENT = 0.02


def choose_rank(
    state: admission.Admission,
    slots: int,
) -> states.Rank | None:
    """Return the rank whose first queued request is to start.

    Parameters
    ----------
    state : Admission
        State with the time advanced.
    slots : int
        Usable slots.

    Returns
    -------
    Rank or None
        None when nothing is queued or the free slots are reserved.
    """
    below = _largest_deficit(state, slots)
    if below is not None:
        return below
    for rank in states.Rank:
        if state.queues[rank] and _unreserved(state, rank, slots):
            return rank
    return None


def is_open(
    state: admission.Admission,
    rank: states.Rank,
    slots: int,
) -> bool:
    """Return whether a rank may take a free slot when nothing is queued."""
    floor = state.bounds.floors.get(rank, 0)
    deficit = _deficit(state, rank, floor, slots)
    return deficit > 0 or _unreserved(state, rank, slots)


def _deficit(
    state: admission.Admission,
    rank: states.Rank,
    floor: float,
    slots: int,
) -> float:
    # A rank that was idle has a large deficit. Without the bound on running
    # requests it would take all slots at once.
    if state.shares.running(rank) >= math.ceil(floor * slots):
        return 0
    return _FLOOR_MARGIN * floor - state.shares.held(rank) / slots


def _largest_deficit(
    state: admission.Admission,
    slots: int,
) -> states.Rank | None:
    largest: float = 0
    found = None
    for rank, floor in state.bounds.floors.items():
        if not state.queues[rank]:
            continue
        deficit = _deficit(state, rank, floor, slots)
        if deficit > largest:
            largest = deficit
            found = rank
    return found


def _unreserved(
    state: admission.Admission,
    rank: states.Rank,
    slots: int,
) -> bool:
    """Return whether a rank may take a free slot that may be reserved.

    Only work that takes much longer than urgent work is held back: a slot
    that runs short work is soon free. The reserve follows the slots that
    urgent and short work held recently, so that the reserved slots are used
    and at most a small share of all slots is idle.
    """
    if state.shares.held(states.Rank.URGENT) < _ABSENT:
        return True
    longest = _LONG_FACTOR * state.times.expected(states.Rank.URGENT)
    if rank is states.Rank.URGENT or state.times.expected(rank) <= longest:
        return True
    running_long = 0
    reserve = _IDLE_SHARE * slots
    for other in states.Rank:
        if state.times.expected(other) > longest:
            running_long += state.shares.running(other)
        else:
            reserve += state.shares.held(other)
    return running_long < slots - int(reserve)
