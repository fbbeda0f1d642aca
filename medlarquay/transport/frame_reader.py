"""Assembly of whole frames from the WebSocket frames of a link."""

from websockets import frames

from medlarquay import codec
from medlarquay.transport import fragment, fragment_assembler

__all__ = ('FrameReader',)

_CONTENT = frozenset((frames.Opcode.BINARY, frames.Opcode.CONT))


class FrameReader:
    """Joins WebSocket continuations and fragments of large frames."""

    def __init__(self) -> None:
        self._continued: list[bytes] = []
        self._assembler = fragment_assembler.FragmentAssembler(
            max_frame_bytes=codec.MAX_FRAME_BYTES,
        )

    def add(self, frame: frames.Frame) -> bytes | None:
        """Add a WebSocket frame; return the whole frame that it completes.

        Raises
        ------
        DecodeError
            If a fragment is malformed or a large frame exceeds its limit.
        """
        if frame.opcode not in _CONTENT:
            return None
        content = bytes(frame.data)
        if frame.opcode is frames.Opcode.CONT or not frame.fin:
            self._continued.append(content)
            if not frame.fin:
                return None
            content = b''.join(self._continued)
            self._continued = []
        if not fragment.is_fragment(content):
            return content
        return self._assembler.add(fragment.Fragment.decode(content))
