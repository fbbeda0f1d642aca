"""Other versions of documents are rejected than before."""

import dataclasses

from medlarquay import replica

__all__ = ('RejectionsChanged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RejectionsChanged:
    """Other versions of documents are rejected than before.

    Attributes
    ----------
    records : tuple of TeamRecord
        Records of all teams whose newest version was rejected.
    """

    records: tuple[replica.TeamRecord, ...]
