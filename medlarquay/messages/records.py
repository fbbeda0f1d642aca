"""Records that are newer than those of the receiver."""

import dataclasses

from medlarquay import replica

__all__ = ('Records',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Records:
    """Records that are newer than those of the receiver.

    Attributes
    ----------
    delta : replica.Delta
        Changed records.
    """

    delta: replica.Delta
