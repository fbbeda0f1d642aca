"""Send an answer to a caller."""

import dataclasses

from medlarquay import ids

__all__ = ('AnswerReady',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerReady:
    """Send an answer to a caller.

    Attributes
    ----------
    caller : ids.CallerId
        Connection of the caller.
    status : int
        HTTP status.
    headers : tuple[tuple[bytes, bytes], ...]
        Header fields in order; names in lower case.
    body : bytes
        Whole body.
    close : bool
        Whether to close the connection afterwards.
    request_id : str
        Id of the request, for logs; empty if it has none.
    """

    caller: ids.CallerId
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    close: bool = False
    request_id: str = ''
