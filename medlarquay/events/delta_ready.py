"""The records newer than the version vector of a ``DeltaRequested``."""

import dataclasses

from medlarquay import replica

__all__ = ('DeltaReady',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeltaReady:
    """The records newer than the version vector of a ``DeltaRequested``.

    Attributes
    ----------
    delta : replica.Delta
        Records newer than the requested base.
    """

    delta: replica.Delta
