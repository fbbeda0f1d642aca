"""Load of an owner and its backend server, sent with each answer."""

import dataclasses

__all__ = ('LoadState',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadState:
    """Load of an owner and its backend server, sent with each answer.

    Attributes
    ----------
    slots : int
        Slots that are usable now.
    running : int
        Requests in progress at the backend server.
    queued : int
        Requests waiting for a slot.
    service_time : float
        Smoothed time of one request at the backend server, in seconds.
    link_wait : float
        Seconds until the link of the machine could begin to send another large
        answer.
    """

    slots: int
    running: int
    queued: int
    service_time: float
    link_wait: float = 0
