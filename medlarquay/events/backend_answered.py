"""The local backend server sent a complete answer."""

import dataclasses

from medlarquay import ids

__all__ = ('BackendAnswered',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendAnswered:
    """The local backend server sent a complete answer.

    Attributes
    ----------
    exchange : ids.ExchangeId
        Exchange of the request.
    status : int
        HTTP status.
    headers : tuple[tuple[bytes, bytes], ...]
        Header fields in order; names in lower case.
    body : bytes
        Whole body.
    """

    exchange: ids.ExchangeId
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
