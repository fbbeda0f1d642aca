"""Parsing of the answer to one request from the bytes of a backend server."""

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
_CONTENT_LENGTH = b'content-length'
_TRANSFER_ENCODING = b'transfer-encoding'
_CONTENT_ENCODING = b'content-encoding'
_FIRST_FINAL_STATUS = 200
# Answers without a body: a content length in their header is that of another
# answer.
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
        Header fields that match an answer to its request and prove its
        origin.
    request_id : bytes or None
        Id that the answer must echo; None if the request had none.
    max_bytes : int
        Largest body in bytes.

    Notes
    -----
    A late answer to an earlier request may arrive before the expected answer.
    It is recognised by its request id and skipped, and the connection is not
    reused.

    Endless input from a server is refused as soon as it exceeds the size of
    the largest answer and of what may precede it (``AnswerBounds``).
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
        self._delimited = False
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
        """HTTP status of a complete answer; None before it is complete."""
        return None if self._failed else self._status

    @property
    def headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Header fields of the answer; names in lower case."""
        return tuple(self._headers)

    @property
    def body(self) -> bytes:
        """Body of the answer."""
        return bytes(self._body)

    @property
    def failed(self) -> bool:
        """Whether the answer exceeded a limit or violated the protocol."""
        return self._failed

    @property
    def too_large(self) -> bool:
        """Whether the body exceeded the limit."""
        return self._bounds.too_large

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another exchange."""
        return self._reusable

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        self._bounds.count_read(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reusable = False
            # Bytes after a complete answer prevent only the reuse of the
            # connection.
            self._failed = self._failed or self._status is None
        if self._status is None and self._bounds.exceeded:
            self._failed = True

    def end(self) -> None:
        """Complete an answer that is delimited by the end of its connection.

        To be called after an orderly close only: a reset may have cut the
        answer off. Without receipts the close of a crashed backend server
        looks the same, so the answer then stays incomplete.
        """
        receipts = self._names.receipt is not None
        closable = receipts and self._in_body and not self._delimited
        if closable and self._status is None and not self._failed:
            self._reusable = False
            self._complete(self._parser.get_status_code())

    def on_message_begin(self) -> None:
        """Prevent reuse of the connection if a second answer begins."""
        if self._status is not None:
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header field."""
        if self._status is not None or self._in_body:
            return
        lowered = name.lower()
        if lowered == _CONNECTION and _CLOSE in value.lower():
            self._reusable = False
        if lowered == _CONTENT_LENGTH:
            self._delimited = True
            self._length = int(value)
        elif lowered == _TRANSFER_ENCODING:
            self._delimited = True
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
            # The parser would wait for the body that the header announces.
            self._complete(status)
        elif not self._head and status not in _WITHOUT_BODY:
            self._bounds.announce_body(self._length)
            self._failed = self._failed or self._bounds.too_large

    def on_body(self, body: bytes) -> None:
        """Store part of the body."""
        if self._status is not None:
            self._reusable = False
            return
        self._bounds.count_body(len(body))
        if self._bounds.too_large:
            self._failed = True
        else:
            self._append_body(body)

    def on_message_complete(self) -> None:
        """Complete the answer, or skip an interim one."""
        if self._status is not None or self._failed:
            return
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            self._skip_answer()
            return
        self._complete(status)
        self._reusable = self._reusable and self._parser.should_keep_alive()

    def _complete(self, status: int) -> None:
        fields = dict(self._headers)
        echoed_id = self._request_id
        if self._names.request_id is not None:
            echoed_id = fields.get(self._names.request_id)
        if echoed_id is not None and echoed_id != self._request_id:
            self._reusable = False
            self._skip_answer()
        elif status < _FIRST_FAILURE_STATUS and not self._has_proof_of_origin(
            fields
        ):
            self._reusable = False
            self._failed = True
        else:
            self._status = status

    def _has_proof_of_origin(self, fields: dict[bytes, bytes]) -> bool:
        if self._names.receipt is None:
            return True
        echoes_id = self._names.request_id in fields
        # The mesh requests no content encoding, so an encoded body did not
        # come from the backend server.
        unencoded = _CONTENT_ENCODING not in fields
        return echoes_id and unencoded and self._names.receipt in fields

    def _append_body(self, body: bytes) -> None:
        if not self._body:
            self._body = body
            return
        if isinstance(self._body, bytes):
            # Most bodies arrive in one part. A list of tiny parts would take
            # many times their length in memory.
            self._body = bytearray(self._body)
        self._body += body

    def _skip_answer(self) -> None:
        self._bounds.skip_answer()
        self._headers = []
        self._body = b''
        self._length = 0
        self._in_body = False
        self._delimited = False
