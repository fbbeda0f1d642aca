"""Limits on the bytes that a backend server sends for one request."""

from medlarquay.transport import http_limits

__all__ = ('AnswerBounds',)

# Bytes outside bodies: interim answers, the heads of skipped answers, and the
# framing of a first small chunk.
_MAX_OVERHEAD_BYTES = 4 * http_limits.MAX_HEADER_BYTES
# A chunk of one byte has five bytes of framing: its length and two line ends.
_FRAMING_PER_BODY_BYTE = 5
# A late answer to an earlier request may precede the expected one.
_MAX_BODIES = 2


class AnswerBounds:
    """Counts the bytes and fields that a server sends for one request.

    Parameters
    ----------
    max_body_bytes : int
        Largest body of one answer in bytes.

    Notes
    -----
    The parser reports a field, a chunk or an answer only when it is complete.
    Input that never completes is therefore limited by the number of bytes
    read.
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
        """Whether the bytes inside or outside bodies exceed their limits."""
        body_bytes = self._skipped_body_bytes + self._body_bytes
        overhead = self._read_bytes - body_bytes
        return (
            overhead > _MAX_OVERHEAD_BYTES + _FRAMING_PER_BODY_BYTE * body_bytes
            or body_bytes > _MAX_BODIES * self._max_body_bytes
        )

    def count_read(self, length: int) -> None:
        """Count bytes read from the connection."""
        self._read_bytes += length

    def count_field(self, length: int) -> bool:
        """Count one header field.

        Parameters
        ----------
        length : int
            Bytes of its name and value.

        Returns
        -------
        bool
            Whether the header is still within its limits.
        """
        self._fields += 1
        self._header_bytes += length
        return (
            self._header_bytes <= http_limits.MAX_HEADER_BYTES
            and self._fields <= http_limits.MAX_FIELDS
        )

    def count_body(self, length: int) -> None:
        """Count bytes of a body."""
        self._body_bytes += length

    def announce_body(self, length: int) -> None:
        """Record the length that the header states, if it exceeds the limit."""
        if length > self._max_body_bytes:
            self._body_bytes = length

    def skip_answer(self) -> None:
        """Count the body so far as skipped and start counting a new answer."""
        self._skipped_body_bytes += self._body_bytes
        self._body_bytes = 0
        self._header_bytes = 0
        self._fields = 0
