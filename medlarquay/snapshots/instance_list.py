"""The instance list, grouped by service."""

import dataclasses
from collections.abc import Mapping

from medlarquay import ids, replica
from medlarquay.snapshots import service_key

__all__ = ('InstanceList',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceList:
    """The instance list, grouped by service.

    It includes instances of services that no document defines yet, because the
    instance list and the settings tree are updated independently.

    Attributes
    ----------
    by_instance : Mapping[InstanceId, InstanceRecord]
        Records by instance; tombstones are left out.
    by_service : Mapping[ServiceKey, tuple of InstanceRecord]
        The same records by service, sorted by instance.
    """

    by_instance: Mapping[ids.InstanceId, replica.InstanceRecord] = (
        dataclasses.field(default_factory=dict)
    )
    by_service: Mapping[
        service_key.ServiceKey,
        tuple[replica.InstanceRecord, ...],
    ] = dataclasses.field(default_factory=dict)
