"""Send a request to the local backend server."""

import dataclasses

from medlarquay import ids

__all__ = ('StartRequest',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartRequest:
    """Send a request to the local backend server.

    Attributes
    ----------
    exchange : ids.ExchangeId
        Number of the exchange at the owner.
    method : bytes
        HTTP method.
    target : bytes
        Path and query.
    headers : tuple[tuple[bytes, bytes], ...]
        Header fields in order; names in lower case.
    body : bytes
        Whole body.
    deadline : float
        Deadline of the request, seconds on the monotonic clock.
    """

    exchange: ids.ExchangeId
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    deadline: float
