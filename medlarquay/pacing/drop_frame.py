"""Drop a frame that cannot arrive before its deadline."""

import dataclasses

from medlarquay.pacing import large_frame

__all__ = ('DropFrame',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DropFrame:
    """Drop a frame that cannot arrive before its deadline.

    Attributes
    ----------
    frame : LargeFrame
        Frame.
    """

    frame: large_frame.LargeFrame
