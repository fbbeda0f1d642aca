"""Query for any owner of a service."""

import dataclasses
import math

from medlarquay import ids
from medlarquay.routing import candidates

__all__ = ('AnyOwnerQuery',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnyOwnerQuery:
    """Query for any owner of a service, for a call without a key.

    Attributes
    ----------
    candidates : Candidates
        Live backend servers of the service.
    excluded : tuple of InstanceId
        Owners that earlier attempts of this call were sent to.
    due : float
        Target time of the answer; a later one is worth less. Seconds on the
        monotonic clock.
    route : RouteName
        Route of the call.
    large_request : bool
        Whether the call has a large body.
    """

    candidates: candidates.Candidates
    excluded: tuple[ids.InstanceId, ...] = ()
    due: float = math.inf
    route: ids.RouteName = ids.RouteName('')
    large_request: bool = False
