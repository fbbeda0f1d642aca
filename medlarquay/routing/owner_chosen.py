"""Decision to send a call to an owner."""

import dataclasses

from medlarquay import replica

__all__ = ('OwnerChosen',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnerChosen:
    """Decision to send a call to an owner.

    Attributes
    ----------
    backend : InstanceRecord
        Backend server of the owner.
    """

    backend: replica.InstanceRecord
