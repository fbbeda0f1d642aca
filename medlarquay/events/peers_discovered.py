"""Entries of the instance list by which a node may find others."""

import dataclasses

from medlarquay import replica

__all__ = ('PeersDiscovered',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeersDiscovered:
    """Entries of the instance list by which a node may find others.

    Attributes
    ----------
    instances : tuple[replica.InstanceRecord, ...]
        Entries, possibly old and not all of them; only for the choice of the
        first parent.
    """

    instances: tuple[replica.InstanceRecord, ...]
