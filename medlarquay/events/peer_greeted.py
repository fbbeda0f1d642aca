"""The node at the other end of a call link sent its ``Hello``."""

import dataclasses

from medlarquay import ids

__all__ = ('PeerGreeted',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerGreeted:
    """The node at the other end of a call link sent its ``Hello``.

    Attributes
    ----------
    instance : ids.InstanceId
        Instance of that node.
    incarnation : ids.Incarnation
        Incarnation of that node.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
