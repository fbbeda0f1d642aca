"""A node does not answer a probe on its call link."""

import dataclasses

from medlarquay import ids

__all__ = ('PeerSilent',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerSilent:
    """A node does not answer a probe on its call link.

    Attributes
    ----------
    instance : ids.InstanceId
        Instance of that node.
    """

    instance: ids.InstanceId
