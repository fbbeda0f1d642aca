"""Records newer than what the receiver holds."""

import dataclasses

from medlarquay import replica

__all__ = ('Records',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Records:
    """Records newer than what the receiver holds.

    Attributes
    ----------
    delta : replica.Delta
        Changed records.
    """

    delta: replica.Delta
