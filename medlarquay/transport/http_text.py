"""Formatting of HTTP/1.1 requests and answers."""

import http
from collections.abc import Iterable
from types import MappingProxyType

__all__ = ('HOP_BY_HOP', 'format_answer', 'format_request')

# Hop-by-hop fields concern one connection only and are not forwarded.
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

# Answers with these statuses never have a body (RFC 9110, section 6.4.1).
_WITHOUT_BODY = frozenset((204, 304))

_REASONS = MappingProxyType({
    status.value: status.phrase.encode() for status in http.HTTPStatus
})


def format_answer(
    *,
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
    close: bool,
    head: bool = False,
) -> bytes:
    """Format a whole answer with its content length.

    Parameters
    ----------
    status, headers, body : int, iterable of pairs, bytes
        Status code, header fields and body of the answer.
    close : bool
        Whether to announce that the connection closes.
    head : bool
        Whether the request was HEAD. The answer then has neither body nor
        content length; the length that GET would return is not known here.

    Returns
    -------
    bytes
    """
    lines = [b'HTTP/1.1 %d %b' % (status, _REASONS.get(status, b'Unknown'))]
    lines.extend(b'%b: %b' % pair for pair in headers)
    if close:
        lines.append(b'connection: close')
    if head or status in _WITHOUT_BODY:
        return b'\r\n'.join((*lines, b'\r\n'))
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

    Parameters
    ----------
    method, target : bytes
        Method and request target.
    headers, body : iterable of pairs, bytes
        Header fields and body.

    Returns
    -------
    bytes
    """
    lines = [b'%b %b HTTP/1.1' % (method, target)]
    lines.extend(b'%b: %b' % pair for pair in headers)
    lines.append(b'content-length: %d\r\n\r\n' % len(body))
    return b'\r\n'.join(lines) + body
