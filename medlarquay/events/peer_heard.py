"""A node that was silent sends on its call link again."""

import dataclasses

from medlarquay import ids

__all__ = ('PeerHeard',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerHeard:
    """A node that was silent sends on its call link again.

    Attributes
    ----------
    instance : ids.InstanceId
        Instance.
    """

    instance: ids.InstanceId
