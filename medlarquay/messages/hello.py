"""First message on a link; identifies the sender."""

import dataclasses

from medlarquay import ids

__all__ = ('Hello',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """First message on a link; identifies the sender.

    Attributes
    ----------
    instance : ids.InstanceId
        Instance of the sender.
    incarnation : ids.Incarnation
        Incarnation of the sender.
    region : ids.RegionName
        Region of the sender.
    data_centre : ids.DataCentreName
        Data centre of the sender.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    region: ids.RegionName
    data_centre: ids.DataCentreName
