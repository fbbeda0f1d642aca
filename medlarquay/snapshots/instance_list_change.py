"""A changed instance list with the services that the change affects."""

import dataclasses

from medlarquay.snapshots import instance_list, service_key

__all__ = ('InstanceListChange',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceListChange:
    """A changed instance list with the services that the change affects.

    Attributes
    ----------
    instance_list : InstanceList
        The instance list after the change.
    affected_services : frozenset of ServiceKey
        Services whose backend servers differ.
    """

    instance_list: instance_list.InstanceList
    affected_services: frozenset[service_key.ServiceKey]
