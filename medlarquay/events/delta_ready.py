"""The records newer than a version vector."""

import dataclasses

from medlarquay import replica

__all__ = ('DeltaReady',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeltaReady:
    """The records newer than a version vector.

    Attributes
    ----------
    delta : replica.Delta
        Records newer than the base that was asked for.
    """

    delta: replica.Delta
