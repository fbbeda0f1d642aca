"""Crash suspects of one owner."""

import collections
import math

from medlarquay import ids
from medlarquay.quarantine import suspect

__all__ = ('Quarantine',)


class Quarantine:
    """Crash suspects of one owner and the requests it runs.

    Parameters
    ----------
    service : ServiceName
        Service of the local backend server.

    Attributes
    ----------
    suspects : dict of Fingerprint to Suspect
        Requests that were in flight at a crash.
    earliest_deadline : float
        Lower bound of the deadlines of all suspects, seconds on the monotonic
        clock.
    running : dict of ExchangeId to Fingerprint
        Requests at the local backend server.
    completed : OrderedDict of Fingerprint to float
        Time until which a completed request counts as recently completed,
        seconds on the monotonic clock; oldest first.

    Notes
    -----
    Only ``decide`` changes the state.
    """

    def __init__(self, *, service: ids.ServiceName) -> None:
        self.service = service
        self.suspects: dict[ids.Fingerprint, suspect.Suspect] = {}
        # No suspect has an earlier deadline.
        self.earliest_deadline = math.inf
        self.running: dict[ids.ExchangeId, ids.Fingerprint] = {}
        self.completed: collections.OrderedDict[ids.Fingerprint, float] = (
            collections.OrderedDict()
        )
