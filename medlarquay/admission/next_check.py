"""The next time at which queued work is to be checked."""

from medlarquay.admission import admission

__all__ = ('next_check',)

# While slots are ramped up, queued work starts without any other event.
_RAMP_INTERVAL_S = 0.05


def next_check(state: admission.Admission, now: float) -> float | None:
    """Return when ``CheckDue`` is due, or None when nothing waits.

    Returns
    -------
    float or None
        Seconds on the monotonic clock.
    """
    waiting = [
        work for queue in state.queues.values() for work in queue.values()
    ]
    if not waiting:
        return None
    deadlines = [work.latest_start for work in waiting]
    if state.slot_limit.restricted(now):
        deadlines.append(now + _RAMP_INTERVAL_S)
    return min(deadlines)
