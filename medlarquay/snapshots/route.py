"""A route bound to its service."""

import dataclasses

from medlarquay import ids, settings
from medlarquay.snapshots import service

__all__ = ('Route',)

_Split = tuple[tuple[service.Service, int], ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A route bound to its service.

    Attributes
    ----------
    parameters : settings.RouteSettings
        Settings of the route from the team document.
    prefix : bytes
        Path prefix, encoded to compare it with request targets.
    idempotent_methods : frozenset[bytes]
        HTTP methods whose requests may run more than once.
    service : service.Service
        Service of the same snapshot.
    split : tuple of (Service, int)
        Services among which the requests are split, with their weights;
        empty if all requests go to ``service``.
    """

    parameters: settings.RouteSettings
    prefix: bytes
    idempotent_methods: frozenset[bytes]
    service: service.Service
    split: _Split = ()

    @property
    def name(self) -> ids.RouteName:
        """Host and path prefix, which identify the route in its document."""
        parameters = self.parameters
        return ids.RouteName(f'{parameters.host}{parameters.path_prefix}')
