"""Drop a queued frame that its receiver no longer waits for."""

import dataclasses

from medlarquay import ids

__all__ = ('WithdrawFrame',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawFrame:
    """Drop a queued frame that its receiver no longer waits for.

    Attributes
    ----------
    link : ids.LinkId
        Link of the call.
    call_id : ids.CallId
        Call of the frame.
    """

    link: ids.LinkId
    call_id: ids.CallId
