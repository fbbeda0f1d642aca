"""The backend servers of the own service have changed."""

import dataclasses

from medlarquay import ids

__all__ = ('EndpointsReplaced',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointsReplaced:
    """The backend servers of the own service have changed.

    Attributes
    ----------
    instances : frozenset[InstanceId]
        Live and leaving backend servers.
    """

    instances: frozenset[ids.InstanceId]
