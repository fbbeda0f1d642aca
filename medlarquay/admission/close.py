"""Refusal of queued requests that a leaving backend server can't start."""

from collections.abc import Iterator

from medlarquay import states
from medlarquay.admission import admission, next_work, queued_work

__all__ = ('starting_late',)


def starting_late(
    state: admission.Admission,
    now: float,
) -> tuple[queued_work.QueuedWork, ...]:
    """Return the queued requests that won't start before the closing time.

    They are refused at once, so that other owners have as much time left for
    them as possible.

    Parameters
    ----------
    state : Admission
        State with the time advanced.
    now : float
        Seconds on the monotonic clock.

    Notes
    -----
    The requests are assumed to start in the order of rank and due time, each
    after its share of the service times ahead of it. One that starts later
    than estimated is refused at the closing time.
    """
    if state.closes_at <= now:
        return tuple(_in_order(state, now))
    slot_time = (state.closes_at - now) * state.slot_limit.usable(now)
    time_ahead = sum(
        max(0, state.service_times.rank_mean(work.rank) + work.started_at - now)
        for work in state.running.values()
    )
    late = []
    for rank in states.Rank:
        for work in _rank_in_order(state, rank, now):
            if time_ahead >= slot_time:
                late.append(work)
            else:
                time_ahead += state.service_times.expected_total(rank, (work,))
    return tuple(late)


def _in_order(
    state: admission.Admission,
    now: float,
) -> Iterator[queued_work.QueuedWork]:
    for rank in states.Rank:
        yield from _rank_in_order(state, rank, now)


def _rank_in_order(
    state: admission.Admission,
    rank: states.Rank,
    now: float,
) -> list[queued_work.QueuedWork]:
    return sorted(
        state.queues[rank].values(),
        key=lambda work: next_work.sort_key(work, now),
    )
