"""HTTP request to a test double and its answer."""

import dataclasses
import http
from collections.abc import Callable, Mapping

__all__ = ('HttpExchange',)


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class HttpExchange:
    """HTTP request to a test double, with callbacks to answer it.

    Attributes
    ----------
    method, target : str
        Method and target of the request line.
    headers : dict of str
        Header fields; names in lower case.
    body : bytes
        Complete body.
    send : callable
        Writes an encoded answer to the connection.
    reset : callable
        Resets the connection instead of answering.
    on_disconnect : callable
        Called when the connection closes before the answer.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    send: Callable[[bytes], None]
    reset: Callable[[], None]
    on_disconnect: Callable[[], None] | None = None

    def answer(
        self,
        body: bytes = b'',
        *,
        status: int = http.HTTPStatus.OK,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Answer the request."""
        self.on_disconnect = None
        lines = [f'HTTP/1.1 {status} Answer']
        lines.extend(
            f'{name}: {value}' for name, value in (headers or {}).items()
        )
        lines.append(f'content-length: {len(body)}\r\n\r\n')
        self.send('\r\n'.join(lines).encode() + body)
