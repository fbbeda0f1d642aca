"""Answer that a client of the test doubles received."""

import dataclasses

__all__ = ('ClientAnswer',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientAnswer:
    """Answer that a client of the test doubles received.

    Attributes
    ----------
    status : int
        HTTP status; 0 when there was no whole answer.
    headers : dict of str
        Header fields; names in lower case.
    body : bytes
        Whole body.
    sent : bool
        Whether the request left the client.
    timed_out : bool
        Whether the client stopped waiting for an answer.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    sent: bool = True
    timed_out: bool = False
