"""Decision to send the next fragment of a large frame."""

import dataclasses

from medlarquay.pacing import large_frame

__all__ = ('SendFragment',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendFragment:
    """Decision to send the next fragment of a large frame.

    Attributes
    ----------
    frame : LargeFrame
        Frame to send from.
    """

    frame: large_frame.LargeFrame
