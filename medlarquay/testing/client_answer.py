"""Answer to a request of the HTTP client of the test doubles."""

import dataclasses

__all__ = ('ClientAnswer',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientAnswer:
    """Answer to a request of the HTTP client of the test doubles.

    Attributes
    ----------
    status : int
        HTTP status; 0 when no complete answer was received.
    headers : dict of str
        Header fields; names in lower case.
    body : bytes
        Complete body.
    sent : bool
        Whether a connection was made and the request was sent.
    timed_out : bool
        Whether the timeout of the client passed without an answer.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    sent: bool = True
    timed_out: bool = False
