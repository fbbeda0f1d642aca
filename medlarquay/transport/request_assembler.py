"""Parsing of requests from the bytes of a caller."""

import collections

import httptools

from medlarquay import events, ids, states
from medlarquay.transport import http_limits, receive_stage

__all__ = ('RequestAssembler',)

_HOST = b'host'
_CONTENT_LENGTH = b'content-length'
_TRANSFER_ENCODING = b'transfer-encoding'
_EXPECT = b'expect'
_CHUNKED = b'chunked'
_CONTINUE = b'100-continue'
_VERSION = '1.1'
_OLD_VERSION = '1.0'
_PATH_START = b'/'

_Completed = events.RequestReceived | events.RequestRejected


class RequestAssembler:
    """Parses the bytes of one caller into requests, in order.

    Parameters
    ----------
    caller : CallerId
        Connection of the caller.

    Notes
    -----
    The parser is strict: it refuses both ``Content-Length`` and
    ``Transfer-Encoding``, a repeated ``Content-Length``, folded lines, and a
    line feed without carriage return. What it accepts but two servers could
    interpret differently (request smuggling) is refused here: a transfer
    encoding other than chunked, a repeated or missing ``Host``, and upgrades.
    Fields after a chunked body are ignored.
    """

    def __init__(self, *, caller: ids.CallerId) -> None:
        self._caller = caller
        self._parser = httptools.HttpRequestParser(self)
        self._completed: collections.deque[tuple[_Completed, bool]] = (
            collections.deque()
        )
        self._failed = False
        self._awaits_continue = False
        self._reset()

    @property
    def stage(self) -> receive_stage.ReceiveStage:
        """Which part of a request is being received."""
        if not self._started:
            return receive_stage.ReceiveStage.IDLE
        if self._in_body:
            return receive_stage.ReceiveStage.BODY
        return receive_stage.ReceiveStage.HEADER

    @property
    def failed(self) -> bool:
        """Whether a request was rejected, so that no more bytes are parsed."""
        return self._failed

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._failed:
            return
        self._started = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reject(states.RefusalReason.MALFORMED)

    def take(self) -> tuple[_Completed, bool] | None:
        """Return the next request or rejection, if any.

        Returns
        -------
        tuple or None
            Request or rejection, and whether the connection stays open after
            its answer.
        """
        return self._completed.popleft() if self._completed else None

    def take_continue(self) -> bool:
        """Tell whether ``100 Continue`` must be sent, and clear the flag."""
        awaited = self._awaits_continue
        self._awaits_continue = False
        return awaited

    def reject(self, reason: states.RefusalReason) -> None:
        """Reject the request being received and parse no more bytes."""
        if self._failed:
            return
        self._failed = True
        self._started = False
        rejected = events.RequestRejected(caller=self._caller, reason=reason)
        self._completed.append((rejected, False))

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._reset()
        self._started = True

    def on_url(self, url: bytes) -> None:
        """Store part of the request target."""
        self._count_header(len(url))
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header field; ignore fields after a chunked body."""
        self._count_header(len(name) + len(value))
        if self._in_body:
            # A field after a chunked body could replace one of the header.
            return
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the header beyond what the parser checks."""
        self._in_body = True
        if not self._acceptable():
            self.reject(states.RefusalReason.MALFORMED)
        elif (
            int(self._field(_CONTENT_LENGTH) or 0) > http_limits.MAX_BODY_BYTES
        ):
            self.reject(states.RefusalReason.BODY_TOO_LARGE)
        elif self._parser.get_http_version() != _OLD_VERSION:
            self._awaits_continue = self._field(_EXPECT) is not None

    def on_body(self, body: bytes) -> None:
        """Store part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > http_limits.MAX_BODY_BYTES:
            self.reject(states.RefusalReason.BODY_TOO_LARGE)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue the complete request for ``take``."""
        if self._failed:
            return
        request = events.RequestReceived(
            caller=self._caller,
            method=self._parser.get_method(),
            target=self._target,
            headers=tuple(self._headers),
            body=b''.join(self._body),
        )
        keep_alive = (
            self._parser.should_keep_alive()
            and self._parser.get_http_version() != _OLD_VERSION
        )
        self._completed.append((request, keep_alive))
        self._reset()

    def _acceptable(self) -> bool:
        return (
            not self._parser.should_upgrade()
            and self._target.startswith(_PATH_START)
            and self._field(_EXPECT) in {None, _CONTINUE}
            and self._unambiguous()
        )

    def _unambiguous(self) -> bool:
        version = self._parser.get_http_version()
        hosts = sum(name == _HOST for name, _ in self._headers)
        encoding = self._field(_TRANSFER_ENCODING)
        if version == _OLD_VERSION:
            return hosts <= 1 and encoding is None
        valid = version == _VERSION and hosts == 1
        return valid and (encoding is None or encoding.lower() == _CHUNKED)

    def _field(self, field_name: bytes) -> bytes | None:
        for name, content in self._headers:
            if name == field_name:
                return content
        return None

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > http_limits.MAX_HEADER_BYTES:
            self.reject(states.RefusalReason.HEADER_TOO_LARGE)

    def _reset(self) -> None:
        self._started = False
        self._in_body = False
        self._awaits_continue = False
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0
