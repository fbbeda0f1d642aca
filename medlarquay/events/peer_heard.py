"""A node that was reported silent sends on its call link again."""

import dataclasses

from medlarquay import ids

__all__ = ('PeerHeard',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerHeard:
    """A node that was reported silent sends on its call link again.

    Attributes
    ----------
    instance : ids.InstanceId
        Instance of that node.
    """

    instance: ids.InstanceId
