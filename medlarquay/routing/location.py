"""Location of an ingress."""

import dataclasses

from medlarquay import ids, replica
from medlarquay.routing import zone

__all__ = ('Location',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Location:
    """Location of an ingress.

    Attributes
    ----------
    instance : InstanceId
        Instance of the node.
    region, data_centre : RegionName, DataCentreName
        Region and data centre of the node.
    """

    instance: ids.InstanceId
    region: ids.RegionName
    data_centre: ids.DataCentreName

    def zone_of(self, backend: replica.InstanceRecord) -> zone.Zone:
        """Return the distance class of a backend server."""
        if backend.region != self.region:
            return zone.Zone.OTHER_REGION
        if backend.data_centre != self.data_centre:
            return zone.Zone.REGION
        return zone.Zone.DATA_CENTRE
