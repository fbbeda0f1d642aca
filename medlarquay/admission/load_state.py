"""Load that an owner reports for its backend server."""

from medlarquay import messages, states
from medlarquay.admission import admission

__all__ = ('load_state',)


def load_state(state: admission.Admission, now: float) -> messages.LoadState:
    """Return the load that the owner attaches to each result.

    Parameters
    ----------
    state : Admission
        State of admission.
    now : float
        Seconds on the monotonic clock.
    """
    return messages.LoadState(
        slots=state.slot_limit.usable(now),
        running=len(state.running),
        queued=len(state.queued_ranks),
        service_time=state.service_times.overall,
        link_wait=_link_wait(state, now),
    )


def _link_wait(state: admission.Admission, now: float) -> float:
    queued = sum(
        work.transfer
        for queue in state.queues.values()
        for work in queue.values()
        if work.large
    )
    return state.link_free_at(states.Rank.BULK, now) - now + queued
