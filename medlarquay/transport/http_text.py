"""Formatting of HTTP/1.1 requests and answers."""

import http
from collections.abc import Iterable
from types import MappingProxyType

__all__ = ('HOP_BY_HOP', 'format_answer', 'format_request')

# Fields that concern one connection only and are never passed on.
HOP_BY_HOP = frozenset((
    b'connection',
    b'content-length',
    b'expect',
    b'keep-alive',
    b'proxy-connection',
    b'te',
    b'trailer',
    b'transfer-encoding',
    b'upgrade',
))

_REASONS = MappingProxyType({
    status.value: status.phrase.encode() for status in http.HTTPStatus
})


def format_answer(
    *,
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
    close: bool,
) -> bytes:
    """Format a whole answer with its content length.

    Returns
    -------
    bytes
    """
    lines = [b'HTTP/1.1 %d %b' % (status, _REASONS.get(status, b'Unknown'))]
    lines.extend(b'%b: %b' % pair for pair in headers)
    if close:
        lines.append(b'connection: close')
    lines.append(b'content-length: %d\r\n\r\n' % len(body))
    return b'\r\n'.join(lines) + body


def format_request(
    *,
    method: bytes,
    target: bytes,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
) -> bytes:
    """Format a whole request with its content length.

    Returns
    -------
    bytes
    """
    lines = [b'%b %b HTTP/1.1' % (method, target)]
    lines.extend(b'%b: %b' % pair for pair in headers)
    lines.append(b'content-length: %d\r\n\r\n' % len(body))
    return b'\r\n'.join(lines) + body
