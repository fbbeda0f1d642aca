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
        Operators' settings of the route.
    prefix : bytes
        Path prefix in the encoding of requests.
    idempotent_methods : frozenset[bytes]
        Methods that may run more than once.
    service : service.Service
        Service of the same snapshot.
    split : tuple of (Service, int)
        Services that share the requests, with their weights; empty when all
        go to ``service``.
    """

    parameters: settings.RouteSettings
    prefix: bytes
    idempotent_methods: frozenset[bytes]
    service: service.Service
    split: _Split = ()

    @property
    def name(self) -> ids.RouteName:
        """Host and path prefix, which name the route in its document."""
        parameters = self.parameters
        return ids.RouteName(f'{parameters.host}{parameters.path_prefix}')
