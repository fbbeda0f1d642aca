"""Encoding of fragments of large frames."""

import dataclasses
import struct

from medlarquay import errors, ids, states

__all__ = ('Fragment', 'is_fragment')

# A frame is a CBOR array, whose first byte is never zero.
_MARKER = 0
_HEADER = struct.Struct('>BIB')
_STEP = 'decode fragment'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fragment:
    """Fragment of a large frame; travels as a frame of its own.

    Attributes
    ----------
    stream : StreamId
        Number that the sender gave to the large frame.
    kind : FragmentKind
        Whether the large frame continues, ends or was dropped.
    content : bytes
        Bytes of the large frame.
    """

    stream: ids.StreamId
    kind: states.FragmentKind
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
            marker, stream, kind = _HEADER.unpack_from(frame)
        except struct.error as cause:
            raise errors.DecodeError(
                'fragment header is truncated',
                step=_STEP,
            ) from cause
        if marker != _MARKER:
            raise errors.DecodeError('frame is not a fragment', step=_STEP)
        return cls(
            stream=ids.StreamId(stream),
            kind=_kind_of(kind),
            content=frame[_HEADER.size :],
        )

    def encode(self) -> bytes:
        """Return the fragment as one frame."""
        header = _HEADER.pack(_MARKER, self.stream, self.kind.value)
        return header + self.content


def is_fragment(frame: bytes) -> bool:
    """Tell whether a frame is a fragment."""
    return frame[:1] == bytes((_MARKER,))


def _kind_of(number: int) -> states.FragmentKind:
    try:
        return states.FragmentKind(number)
    except ValueError as cause:
        raise errors.DecodeError(
            'unknown kind of fragment', step=_STEP
        ) from cause
