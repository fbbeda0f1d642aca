"""Assembly of the answer to one request from the bytes of a server."""

import httptools

from medlarquay.transport import header_names, http_limits, http_text

__all__ = ('AnswerAssembler',)

_CONNECTION = b'connection'
_CLOSE = b'close'
_LENGTH = b'content-length'
_TRANSFER = b'transfer-encoding'
_CONTENT_ENCODING = b'content-encoding'
_FIRST_FINAL_STATUS = 200
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
        self._max_bytes = max_bytes
        self._framed = False
        self._parser = httptools.HttpResponseParser(self)
        self._status: int | None = None
        self._failed = False
        self._too_large = False
        self._reusable = True
        self._in_body = False
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

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
        return b''.join(self._body)

    @property
    def failed(self) -> bool:
        """Whether the answer broke a limit or the protocol."""
        return self._failed

    @property
    def too_large(self) -> bool:
        """Whether the body passed the limit."""
        return self._too_large

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another exchange."""
        return self._reusable

    def feed(self, data: bytes) -> None:
        """Parse bytes."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reusable = False
            # Bytes after a whole answer spoil the connection only.
            self._failed = self._failed or self._status is None

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
        if lowered in {_LENGTH, _TRANSFER}:
            self._framed = True
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > http_limits.MAX_HEADER_BYTES:
            self._failed = True
        elif lowered not in http_text.HOP_BY_HOP:
            self._headers.append((lowered, value))

    def on_headers_complete(self) -> None:
        """Complete an answer that has no body."""
        if self._status is not None:
            return
        self._in_body = True
        if self._head and self._parser.get_status_code() >= _FIRST_FINAL_STATUS:
            # The parser would wait for the body that the fields announce.
            self._complete(self._parser.get_status_code())

    def on_body(self, body: bytes) -> None:
        """Collect part of the body."""
        if self._status is not None:
            self._reusable = False
            return
        self._body_bytes += len(body)
        if self._body_bytes > self._max_bytes:
            self._too_large = True
            self._failed = True
            return
        self._body.append(body)

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

    def _skip(self) -> None:
        self._headers = []
        self._header_bytes = 0
        self._body = []
        self._body_bytes = 0
        self._in_body = False
        self._framed = False
