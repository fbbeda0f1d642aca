"""A node at the other end of a call link said which run it is."""

import dataclasses

from medlarquay import ids

__all__ = ('PeerGreeted',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerGreeted:
    """A node at the other end of a call link said which run it is.

    Attributes
    ----------
    instance : ids.InstanceId
        Instance.
    incarnation : ids.Incarnation
        Run of its node.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
