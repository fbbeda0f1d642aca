"""Event that a call was sent to an owner."""

import dataclasses

from medlarquay import ids

__all__ = ('CallSent',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallSent:
    """Event that a call was sent to an owner.

    Attributes
    ----------
    instance : InstanceId
        Instance of the owner.
    """

    instance: ids.InstanceId
