"""Admission check of a request whose body has not arrived yet."""

from medlarquay import states
from medlarquay.admission import admission, arrival, inputs, queued_work

__all__ = ('check_arrival',)


def check_arrival(
    event: inputs.RequestArrived,
    state: admission.Admission,
    now: float,
) -> queued_work.QueuedWork | states.RefusalReason:
    """Decide whether a request would be admitted, without queueing it.

    Parameters
    ----------
    event : RequestArrived
        Request that is offered.
    state : Admission
        State of admission.
    now : float
        Seconds on the monotonic clock.

    Returns
    -------
    QueuedWork or RefusalReason
        Queue entry that the request would get, or the reason of the refusal.
    """
    state.slot_usage.advance(now)
    return arrival.assess(event, state, now)
