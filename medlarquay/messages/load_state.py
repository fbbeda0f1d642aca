"""What an owner knows of its own load; carried on each answer."""

import dataclasses

__all__ = ('LoadState',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadState:
    """What an owner knows of its own load; carried on each answer.

    Attributes
    ----------
    slots : int
        Slots usable now.
    running : int
        Requests at the backend server.
    queued : int
        Requests waiting for a slot.
    service_time : float
        Smoothed time of one request at the backend server, in seconds.
    link_wait : float
        Seconds until another large answer could begin to leave the machine.
    """

    slots: int
    running: int
    queued: int
    service_time: float
    link_wait: float = 0
