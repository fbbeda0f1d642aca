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
        Link that the child opened.
    silent_at : float
        Deadline for the next frame of the child, seconds on a clock that
        leaves out the pauses of this process.
    region : ids.RegionName
        Region of the child; empty until its hello message has arrived.
    instance : ids.InstanceId
        Instance of the child; empty until its hello message has arrived.
    vector : replica.VersionVector or None
        Version vector of the records that were sent to the child; None until
        it has subscribed.
    """

    link: control_link.ControlLink
    silent_at: float
    region: ids.RegionName = ids.RegionName('')
    instance: ids.InstanceId = ids.InstanceId('')
    vector: replica.VersionVector | None = None
