"""Assembly of the answer to one request from the bytes of a server."""

import httptools

from medlarquay.transport import (
    answer_bounds,
    header_names,
    http_limits,
    http_text,
)

__all__ = ('AnswerAssembler',)

_CONNECTION = b'connection'
_CLOSE = b'close'
_LENGTH = b'content-length'
_TRANSFER = b'transfer-encoding'
_CONTENT_ENCODING = b'content-encoding'
_FIRST_FINAL_STATUS = 200
# A length in their header is that of another answer.
_WITHOUT_BODY = frozenset((204, 304))
_FIRST_FAILURE_STATUS = 300
_PLAIN = header_names.HeaderNames()


class AnswerAssembler:
    """Parses the answer to one request.

    Parameters
    ----------
    head : bool
        Whether the request was HEAD, whose answer has no body.
    names : HeaderNames
        Fields by which an answer of the backend server is known.
    request_id : bytes or None
        Id that the answer must repeat; None if the request had none.
    max_bytes : int
        Largest body.

    Notes
    -----
    A late answer to an earlier request may arrive where this answer is due.
    It is skipped by its id, and the connection is not used again.

    What a server sends without end is refused as soon as it is more than an
    answer and what may come before it can have.
    """

    def __init__(
        self,
        *,
        head: bool,
        names: header_names.HeaderNames = _PLAIN,
        request_id: bytes | None = None,
        max_bytes: int = http_limits.MAX_ANSWER_BYTES,
    ) -> None:
        self._head = head
        self._names = names
        self._request_id = request_id
        self._bounds = answer_bounds.AnswerBounds(max_body_bytes=max_bytes)
        self._framed = False
        self._length = 0
        self._parser = httptools.HttpResponseParser(self)
        self._status: int | None = None
        self._failed = False
        self._reusable = True
        self._in_body = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: bytes | bytearray = b''

    @property
    def status(self) -> int | None:
        """HTTP status of a whole answer; None before it is whole."""
        return None if self._failed else self._status

    @property
    def headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Header fields; names in lower case."""
        return tuple(self._headers)

    @property
    def body(self) -> bytes:
        """Body."""
        return bytes(self._body)

    @property
    def failed(self) -> bool:
        """Whether the answer broke a limit or the protocol."""
        return self._failed

    @property
    def too_large(self) -> bool:
        """Whether the body passed the limit."""
        return self._bounds.too_large

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another exchange."""
        return self._reusable

    def feed(self, data: bytes) -> None:
        """Parse bytes."""
        self._bounds.count_read(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reusable = False
            # Bytes after a whole answer spoil the connection only.
            self._failed = self._failed or self._status is None
        if self._status is None and self._bounds.exceeded:
            self._failed = True

    def end(self) -> None:
        """Complete an answer without length that ends with its connection.

        Only an orderly close may complete it; a reset may have cut it off.
        Without receipts the close of a crashed backend server looks the same,
        so the answer then stays incomplete.
        """
        receipts = self._names.receipt is not None
        open_ended = receipts and self._in_body and not self._framed
        if open_ended and self._status is None and not self._failed:
            self._reusable = False
            self._complete(self._parser.get_status_code())

    def on_message_begin(self) -> None:
        """Note bytes after the whole answer."""
        if self._status is not None:
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header field."""
        if self._status is not None or self._in_body:
            return
        lowered = name.lower()
        if lowered == _CONNECTION and _CLOSE in value.lower():
            self._reusable = False
        if lowered == _LENGTH:
            self._framed = True
            self._length = int(value)
        elif lowered == _TRANSFER:
            self._framed = True
        if not self._bounds.count_field(len(name) + len(value)):
            self._failed = True
        elif lowered not in http_text.HOP_BY_HOP:
            self._headers.append((lowered, value))

    def on_headers_complete(self) -> None:
        """Complete an answer that has no body."""
        if self._status is not None:
            return
        self._in_body = True
        status = self._parser.get_status_code()
        if self._head and status >= _FIRST_FINAL_STATUS:
            # The parser would wait for the body that the fields announce.
            self._complete(status)
        elif not self._head and status not in _WITHOUT_BODY:
            self._bounds.announce_body(self._length)
            self._failed = self._failed or self._bounds.too_large

    def on_body(self, body: bytes) -> None:
        """Collect part of the body."""
        if self._status is not None:
            self._reusable = False
            return
        self._bounds.count_body(len(body))
        if self._bounds.too_large:
            self._failed = True
        else:
            self._keep(body)

    def on_message_complete(self) -> None:
        """Complete the answer; go on after an interim one."""
        if self._status is not None or self._failed:
            return
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            self._skip()
            return
        self._complete(status)
        self._reusable = self._reusable and self._parser.should_keep_alive()

    def _complete(self, status: int) -> None:
        found = dict(self._headers)
        repeated = self._request_id
        if self._names.request_id is not None:
            repeated = found.get(self._names.request_id)
        if repeated is not None and repeated != self._request_id:
            self._reusable = False
            self._skip()
        elif status < _FIRST_FAILURE_STATUS and not self._is_genuine(found):
            self._reusable = False
            self._failed = True
        else:
            self._status = status

    def _is_genuine(self, found: dict[bytes, bytes]) -> bool:
        if self._names.receipt is None:
            return True
        known = self._names.request_id in found
        # Nobody asks for an encoding, so an encoded body is not the backend
        # server's.
        plain = _CONTENT_ENCODING not in found
        return known and plain and self._names.receipt in found

    def _keep(self, body: bytes) -> None:
        if not self._body:
            self._body = body
            return
        if isinstance(self._body, bytes):
            # Most bodies are one part; a list of tiny ones would take many
            # times their length.
            self._body = bytearray(self._body)
        self._body += body

    def _skip(self) -> None:
        self._bounds.skip_answer()
        self._headers = []
        self._body = b''
        self._length = 0
        self._in_body = False
        self._framed = False
