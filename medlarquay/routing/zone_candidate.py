"""Best owner of one zone for a call."""

import dataclasses

from medlarquay import replica

__all__ = ('ZoneCandidate',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneCandidate:
    """Best owner of one zone for a call.

    Attributes
    ----------
    backend : InstanceRecord
        Backend server of the owner.
    cost : float
        Expected seconds until its answer, including the link round trip.
    has_free_slot : bool
        Whether a slot is expected to be free.
    """

    backend: replica.InstanceRecord
    cost: float
    has_free_slot: bool
