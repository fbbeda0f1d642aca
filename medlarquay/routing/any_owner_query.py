"""A call that any owner of the service may take."""

import dataclasses
import math

from medlarquay import ids
from medlarquay.routing import candidates

__all__ = ('AnyOwnerQuery',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnyOwnerQuery:
    """A call that any owner of the service may take.

    Attributes
    ----------
    candidates : Candidates
        Live backend servers of the service.
    excluded : tuple of InstanceId
        Owners that earlier attempts of this call went to.
    due : float
        Time by which an answer is worth most, seconds on the monotonic
        clock.
    route : RouteName
        Route of the call.
    """

    candidates: candidates.Candidates
    excluded: tuple[ids.InstanceId, ...] = ()
    due: float = math.inf
    route: ids.RouteName = ids.RouteName('')
