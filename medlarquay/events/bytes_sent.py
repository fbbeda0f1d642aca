"""A frame was sent at once, without pacing."""

import dataclasses

__all__ = ('BytesSent',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BytesSent:
    """A frame was sent at once, without pacing.

    Attributes
    ----------
    length : int
        Bytes of the frame.
    """

    length: int
