"""A large frame was dropped because it cannot arrive before its deadline."""

import dataclasses

from medlarquay import ids

__all__ = ('FrameDropped',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FrameDropped:
    """A large frame was dropped because it cannot arrive before its deadline.

    Attributes
    ----------
    link : ids.LinkId
        Link of the call.
    call_id : ids.CallId
        Call of the frame.
    """

    link: ids.LinkId
    call_id: ids.CallId
