"""Interleaving of large frames on one link."""

import collections

from medlarquay.transport import fragment

__all__ = ('FragmentQueue',)


class FragmentQueue:
    """Cuts large frames into fragments and takes them in turn.

    Notes
    -----
    Taking one fragment of each frame in turn keeps a large answer from
    delaying others behind it (head-of-line blocking).
    """

    def __init__(self) -> None:
        self._frames: collections.deque[tuple[int, bytes, int]] = (
            collections.deque()
        )
        self._last_stream = 0
        self._waiting_bytes = 0

    def __bool__(self) -> bool:
        """Tell whether fragments are waiting."""
        return bool(self._frames)

    @property
    def waiting_bytes(self) -> int:
        """Bytes of the frames that were not taken yet."""
        return self._waiting_bytes

    def append(self, frame: bytes) -> int:
        """Add a large frame; return the number of its stream."""
        self._last_stream += 1
        self._waiting_bytes += len(frame)
        self._frames.append((self._last_stream, frame, 0))
        return self._last_stream

    def take(self) -> fragment.Fragment:
        """Return the next fragment.

        Raises
        ------
        IndexError
            If no frame is waiting.
        """
        stream, frame, start = self._frames.popleft()
        end = start + fragment.FRAGMENT_BYTES
        last = end >= len(frame)
        if not last:
            self._frames.append((stream, frame, end))
        content = frame[start:end]
        self._waiting_bytes -= len(content)
        return fragment.Fragment(stream=stream, last=last, content=content)
