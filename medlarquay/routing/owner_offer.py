"""The owner that one zone offers for a call."""

import dataclasses

from medlarquay import replica

__all__ = ('OwnerOffer',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnerOffer:
    """The owner that one zone offers for a call.

    Attributes
    ----------
    backend : InstanceRecord
        Backend server of the owner.
    cost : float
        Expected seconds until its answer, link included.
    free : bool
        Whether a slot is expected to be free.
    """

    backend: replica.InstanceRecord
    cost: float
    free: bool
