"""The backend servers of this node's service have changed."""

import dataclasses

from medlarquay import ids

__all__ = ('BackendsReplaced',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendsReplaced:
    """The backend servers of this node's service have changed.

    Attributes
    ----------
    instances : frozenset[InstanceId]
        All listed backend servers, live and leaving.
    """

    instances: frozenset[ids.InstanceId]
