"""One service that takes a share of the requests of a route."""

import dataclasses

from medlarquay import ids

__all__ = ('WeightedService',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """One service that takes a share of the requests of a route.

    Attributes
    ----------
    service : ids.ServiceName
        Service of the same team.
    weight : int
        Share of the requests, relative to the weights of the others.
    """

    service: ids.ServiceName
    weight: int
