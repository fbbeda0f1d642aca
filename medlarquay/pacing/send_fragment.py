"""Send the next part of a large frame."""

import dataclasses

from medlarquay.pacing import large_frame

__all__ = ('SendFragment',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendFragment:
    """Send the next part of a large frame.

    Attributes
    ----------
    frame : LargeFrame
        Frame.
    """

    frame: large_frame.LargeFrame
