"""Result of a change of the instance list."""

import dataclasses

from medlarquay.snapshots import instance_list, service_key

__all__ = ('InstanceListChange',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceListChange:
    """Result of a change of the instance list.

    Attributes
    ----------
    instance_list : InstanceList
        Instance list after the change.
    affected_services : frozenset of ServiceKey
        Services whose backend servers may have changed.
    """

    instance_list: instance_list.InstanceList
    affected_services: frozenset[service_key.ServiceKey]
