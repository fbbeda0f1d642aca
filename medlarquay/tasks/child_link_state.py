"""State of the control link from one child."""

import dataclasses

from medlarquay import ids, replica
from medlarquay.tasks import control_link

__all__ = ('ChildLinkState',)


@dataclasses.dataclass(slots=True, kw_only=True)
class ChildLinkState:
    """State of the control link from one child.

    Attributes
    ----------
    link : control_link.ControlLink
        Link of the child.
    silent_at : float
        When the child counts as gone, seconds on a clock that leaves out the
        pauses of this process.
    region : ids.RegionName
        Region of the child; empty until it introduced itself.
    instance : ids.InstanceId
        Instance of the child; empty until it introduced itself.
    vector : replica.VersionVector or None
        What was sent to it; None until it subscribed.
    """

    link: control_link.ControlLink
    silent_at: float
    region: ids.RegionName = ids.RegionName('')
    instance: ids.InstanceId = ids.InstanceId('')
    vector: replica.VersionVector | None = None
