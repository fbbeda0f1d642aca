"""Crash suspects known to one owner."""

import collections
import math

from medlarquay import ids
from medlarquay.quarantine import suspect

__all__ = ('Quarantine',)


class Quarantine:
    """Crash suspects known to one owner.

    Parameters
    ----------
    service : ServiceName
        Service of the local backend server.

    Notes
    -----
    Only ``decide`` changes the state.
    """

    def __init__(self, *, service: ids.ServiceName) -> None:
        self.service = service
        self.suspects: dict[ids.Fingerprint, suspect.Suspect] = {}
        # No suspect has an earlier deadline.
        self.expire_at = math.inf
        self.running: dict[ids.ExchangeId, ids.Fingerprint] = {}
        self.completed: collections.OrderedDict[ids.Fingerprint, float] = (
            collections.OrderedDict()
        )
