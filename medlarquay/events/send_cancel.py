"""Cancel a call at its owner; nobody waits for the result."""

import dataclasses

from medlarquay import ids

__all__ = ('SendCancel',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendCancel:
    """Cancel a call at its owner; nobody waits for the result.

    Attributes
    ----------
    instance : ids.InstanceId
        Instance of the owner.
    call_id : ids.CallId
        Call to cancel.
    expired : bool
        Whether the deadline passed without any result from the owner.
    """

    instance: ids.InstanceId
    call_id: ids.CallId
    expired: bool = False
