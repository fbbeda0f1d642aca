"""Event that this ingress stopped waiting for a call."""

import dataclasses

from medlarquay import ids

__all__ = ('CallWithdrawn',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallWithdrawn:
    """Event that this ingress stopped waiting for a call.

    The call was cancelled, passed its deadline or was sent to another owner;
    this is no evidence of a fault of the owner.

    Attributes
    ----------
    instance : InstanceId
        Instance of the owner.
    """

    instance: ids.InstanceId
