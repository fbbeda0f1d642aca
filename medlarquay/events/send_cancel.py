"""Tell the owner that nobody waits for a call."""

import dataclasses

from medlarquay import ids

__all__ = ('SendCancel',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendCancel:
    """Tell the owner that nobody waits for a call.

    Attributes
    ----------
    instance : ids.InstanceId
        Owner.
    call_id : ids.CallId
        Call to cancel.
    expired : bool
        Whether the owner let the deadline of the call pass in silence.
    """

    instance: ids.InstanceId
    call_id: ids.CallId
    expired: bool = False
