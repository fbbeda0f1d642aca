"""Decision to drop a large frame."""

import dataclasses

from medlarquay.pacing import large_frame

__all__ = ('DropFrame',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DropFrame:
    """Decision to drop a frame that cannot arrive before its deadline.

    Attributes
    ----------
    frame : LargeFrame
        Frame to drop.
    """

    frame: large_frame.LargeFrame
