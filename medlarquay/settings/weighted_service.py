"""One part of a split route."""

import dataclasses

from medlarquay import ids

__all__ = ('WeightedService',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """One part of a split route: a service and its share of the requests.

    Attributes
    ----------
    service : ids.ServiceName
        Service of the same team.
    weight : int
        Share of the requests, relative to the sum of the weights of all
        parts.
    """

    service: ids.ServiceName
    weight: int
