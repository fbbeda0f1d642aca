"""Assembly of large frames from their fragments."""

from medlarquay import errors, ids, states
from medlarquay.transport import fragment

__all__ = ('FragmentAssembler',)

# Large frames in progress at the same time on one link. Each is limited to the
# size of a whole frame, so this bounds the memory that a peer can claim.
_MAX_STREAMS = 256


class FragmentAssembler:
    """Assembles the large frames of one link from their fragments.

    Parameters
    ----------
    max_frame_bytes : int
        Largest frame accepted, in bytes.
    """

    def __init__(self, *, max_frame_bytes: int) -> None:
        self._parts: dict[ids.StreamId, list[bytes]] = {}
        self._sizes: dict[ids.StreamId, int] = {}
        self._max_frame_bytes = max_frame_bytes

    def add(self, part: fragment.Fragment) -> bytes | None:
        """Add a fragment; return the whole frame after the last one.

        Raises
        ------
        FrameTooLargeError
            If a frame, or the number of frames in progress, exceeds its limit.
        """
        if part.kind is states.FragmentKind.ABORT:
            self._discard(part.stream)
            return None
        size = self._sizes.get(part.stream, 0) + len(part.content)
        if size > self._max_frame_bytes:
            raise errors.FrameTooLargeError(
                f'fragmented frame exceeds {self._max_frame_bytes} bytes',
                step='assemble frame',
            )
        parts = self._parts.setdefault(part.stream, [])
        if len(self._parts) > _MAX_STREAMS:
            raise errors.FrameTooLargeError(
                f'more than {_MAX_STREAMS} fragmented frames in progress',
                step='assemble frame',
            )
        parts.append(part.content)
        self._sizes[part.stream] = size
        if part.kind is states.FragmentKind.PART:
            return None
        self._discard(part.stream)
        return b''.join(parts)

    def _discard(self, stream: ids.StreamId) -> None:
        self._sizes.pop(stream, None)
        self._parts.pop(stream, None)
