"""A newer configuration is in force."""

import dataclasses

from medlarquay import snapshots

__all__ = ('SnapshotReplaced',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotReplaced:
    """A newer configuration is in force.

    Attributes
    ----------
    snapshot : snapshots.Snapshot
        The whole new configuration.
    """

    snapshot: snapshots.Snapshot
