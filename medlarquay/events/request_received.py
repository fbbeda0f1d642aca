"""A caller sent a complete request."""

import dataclasses

from medlarquay import ids

__all__ = ('RequestReceived',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestReceived:
    """A caller sent a complete request.

    Attributes
    ----------
    caller : ids.CallerId
        Connection of the caller.
    method : bytes
        HTTP method.
    target : bytes
        Path and query.
    headers : tuple[tuple[bytes, bytes], ...]
        Header fields in order; names in lower case.
    body : bytes
        Whole body.
    """

    caller: ids.CallerId
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
