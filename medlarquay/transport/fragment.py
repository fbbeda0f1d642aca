"""Encoding of fragments of large frames."""

import dataclasses
import struct

from medlarquay import errors

__all__ = ('FRAGMENT_BYTES', 'Fragment', 'is_fragment')

# A frame is a CBOR array, whose first byte is never zero.
_MARKER = 0
_HEADER = struct.Struct('>BI?')
_STEP = 'decode fragment'

# At 4,000 Mbit/s shared by many links one fragment delays a small frame by
# well under a millisecond.
FRAGMENT_BYTES = 32768


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fragment:
    """Part of a large frame.

    Attributes
    ----------
    stream : int
        Number of the large frame on its link.
    last : bool
        Whether it is the last part.
    content : bytes
        Part of the frame.
    """

    stream: int
    last: bool
    content: bytes

    @classmethod
    def decode(cls, frame: bytes) -> 'Fragment':
        """Decode a fragment.

        Raises
        ------
        DecodeError
            If the header is truncated or malformed.
        """
        try:
            marker, stream, last = _HEADER.unpack_from(frame)
        except struct.error as cause:
            raise errors.DecodeError(
                'fragment header is truncated',
                step=_STEP,
            ) from cause
        if marker != _MARKER:
            raise errors.DecodeError('frame is no fragment', step=_STEP)
        return cls(stream=stream, last=last, content=frame[_HEADER.size :])

    def encode(self) -> bytes:
        """Return the fragment as one frame."""
        header = _HEADER.pack(_MARKER, self.stream, self.last)
        return header + self.content


def is_fragment(frame: bytes) -> bool:
    """Tell fragments from whole frames."""
    return frame[:1] == bytes((_MARKER,))
