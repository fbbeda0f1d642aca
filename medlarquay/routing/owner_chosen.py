"""The owner that a call goes to."""

import dataclasses

from medlarquay import replica

__all__ = ('OwnerChosen',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnerChosen:
    """The owner that a call goes to.

    Attributes
    ----------
    backend : InstanceRecord
        Its backend server.
    """

    backend: replica.InstanceRecord
