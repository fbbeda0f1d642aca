"""Bounds on the bytes that a server sends for one request."""

from medlarquay.transport import http_limits

__all__ = ('AnswerBounds',)

# Interim answers, the heads of answers that are skipped, and the framing of a
# first small chunk.
_MAX_AROUND_BYTES = 4 * http_limits.MAX_HEADER_BYTES
# A chunk of one byte takes five more: its length and two line ends.
_FRAMING_PER_BODY_BYTE = 5
# A late answer to another request may come before the one that is due.
_MAX_BODIES = 2


class AnswerBounds:
    """Counts what a server sends for one request.

    Parameters
    ----------
    max_body_bytes : int
        Largest body of one answer.

    Notes
    -----
    The parser reports a field, a chunk or an answer when it is whole, so what
    never becomes whole is bounded by the bytes that were read.
    """

    def __init__(self, *, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._read_bytes = 0
        self._fields = 0
        self._header_bytes = 0
        self._body_bytes = 0
        self._skipped_body_bytes = 0

    @property
    def too_large(self) -> bool:
        """Whether the body of the answer is larger than allowed."""
        return self._body_bytes > self._max_body_bytes

    @property
    def exceeded(self) -> bool:
        """Whether more came around the bodies than any answer needs."""
        bodies = self._skipped_body_bytes + self._body_bytes
        around = self._read_bytes - bodies
        return (
            around > _MAX_AROUND_BYTES + _FRAMING_PER_BODY_BYTE * bodies
            or bodies > _MAX_BODIES * self._max_body_bytes
        )

    def count_read(self, length: int) -> None:
        """Count bytes from the connection."""
        self._read_bytes += length

    def count_field(self, length: int) -> bool:
        """Count one header field; return whether the header may have it."""
        self._fields += 1
        self._header_bytes += length
        return (
            self._header_bytes <= http_limits.MAX_HEADER_BYTES
            and self._fields <= http_limits.MAX_FIELDS
        )

    def count_body(self, length: int) -> None:
        """Count part of a body."""
        self._body_bytes += length

    def announce_body(self, length: int) -> None:
        """Take the length that the header states for the body."""
        if length > self._max_body_bytes:
            self._body_bytes = length

    def skip_answer(self) -> None:
        """Begin to count the next answer."""
        self._skipped_body_bytes += self._body_bytes
        self._body_bytes = 0
        self._header_bytes = 0
        self._fields = 0
