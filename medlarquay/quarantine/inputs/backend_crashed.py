"""Event that the backend server crashed with requests in flight."""

import dataclasses
from collections.abc import Mapping

from medlarquay import ids

__all__ = ('BackendCrashed',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendCrashed:
    """Event that the backend server crashed with requests in flight.

    Attributes
    ----------
    crash_id : str
        Identifier of the crash, unique in the fleet.
    in_flight : Mapping[ExchangeId, Fingerprint]
        Requests in flight at the crash.
    """

    crash_id: str
    in_flight: Mapping[ids.ExchangeId, ids.Fingerprint]
