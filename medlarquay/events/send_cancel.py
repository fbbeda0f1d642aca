"""Tell the owner that the caller has gone."""

import dataclasses

from medlarquay import ids

__all__ = ('SendCancel',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendCancel:
    """Tell the owner that the caller has gone.

    Attributes
    ----------
    instance : ids.InstanceId
        Owner.
    call_id : ids.CallId
        Call to cancel.
    """

    instance: ids.InstanceId
    call_id: ids.CallId
