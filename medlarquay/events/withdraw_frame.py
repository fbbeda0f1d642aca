"""Nobody waits for a frame any more."""

import dataclasses

from medlarquay import ids

__all__ = ('WithdrawFrame',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawFrame:
    """Nobody waits for a frame any more.

    Attributes
    ----------
    link : ids.LinkId
        Link of the call.
    call_id : ids.CallId
        Call that the frame belongs to.
    """

    link: ids.LinkId
    call_id: ids.CallId
