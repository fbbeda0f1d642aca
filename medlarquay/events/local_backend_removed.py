"""The source no longer lists the backend server beside this node."""

import dataclasses

from medlarquay import ids

__all__ = ('LocalBackendRemoved',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LocalBackendRemoved:
    """The source no longer lists the backend server beside this node.

    Attributes
    ----------
    instance : ids.InstanceId
        Instance whose entry was removed.
    """

    instance: ids.InstanceId
