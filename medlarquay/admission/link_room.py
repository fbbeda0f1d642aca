"""Room on the link for a large answer."""

from medlarquay.admission import admission, queued_work

__all__ = ('has_room', 'room_at')

# Work for the link that is ready when it becomes free; without it, the link
# would be idle while the next answer is made.
_AHEAD_S = 0.25


def room_at(
    work: queued_work.QueuedWork,
    link_free_at: float,
    now: float,
) -> float:
    """Return from when on a request may start, on the monotonic clock.

    Parameters
    ----------
    work : QueuedWork
        Request.
    link_free_at : float
        When the large answers under way will have left the link, seconds on
        the monotonic clock.
    now : float
        Seconds on the monotonic clock.

    Notes
    -----
    Large answers wait for the link in the queue of admission, where the
    order can still change, and not on the link, which delays all of them.
    Small answers overtake the large ones on the link.
    """
    if not work.large:
        return now
    return max(now, link_free_at - work.service - _AHEAD_S)


def has_room(
    state: admission.Admission,
    work: queued_work.QueuedWork,
    now: float,
) -> bool:
    """Return whether the link has room for the answer of a request."""
    return not work.large or room_at(work, state.link_free_at(now), now) <= now
