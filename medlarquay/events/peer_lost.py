"""A call link to another node was lost or could not be opened."""

import dataclasses

from medlarquay import ids

__all__ = ('PeerLost',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerLost:
    """A call link to another node was lost or could not be opened.

    Attributes
    ----------
    instance : ids.InstanceId
        Instance of that node.
    """

    instance: ids.InstanceId
