"""A frame that was not paced has been sent."""

import dataclasses

__all__ = ('BytesSent',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BytesSent:
    """A frame that was not paced has been sent.

    Attributes
    ----------
    length : int
        Bytes of the frame.
    """

    length: int
