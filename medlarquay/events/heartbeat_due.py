"""The relay answers a probe after the records that it had to send first."""

import dataclasses

from medlarquay import ids

__all__ = ('HeartbeatDue',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatDue:
    """The relay answers a probe after the records that it had to send first.

    Attributes
    ----------
    link : ids.LinkId
        Link of the child.
    nonce : int
        Nonce of the probe.
    """

    link: ids.LinkId
    nonce: int
