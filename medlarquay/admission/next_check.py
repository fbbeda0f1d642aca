"""Time of the next check of queued requests."""

from medlarquay.admission import admission

__all__ = ('next_check',)

# While usable slots increase with time, only checks start queued requests.
_RAMP_INTERVAL_S = 0.05


def next_check(state: admission.Admission, now: float) -> float | None:
    """Return when the next :class:`CheckDue` event is needed.

    Parameters
    ----------
    state : Admission
        State of admission.
    now : float
        Seconds on the monotonic clock.

    Returns
    -------
    float or None
        Seconds on the monotonic clock; None if nothing is queued.
    """
    waiting = [
        work for queue in state.queues.values() for work in queue.values()
    ]
    if not waiting:
        return None
    check_times = [work.latest_start for work in waiting]
    check_times.append(state.closes_at)
    if state.slot_limit.is_restricted(now):
        check_times.append(now + _RAMP_INTERVAL_S)
    return min(check_times)
