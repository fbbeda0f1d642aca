"""Answer a probe now that the pending records have been sent."""

import dataclasses

from medlarquay import ids

__all__ = ('HeartbeatDue',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatDue:
    """Answer a probe now that the pending records have been sent.

    Attributes
    ----------
    link : ids.LinkId
        Link of the child.
    nonce : int
        Nonce of the probe.
    """

    link: ids.LinkId
    nonce: int
