"""An exchange with the local backend server failed without an answer."""

import dataclasses

from medlarquay import ids

__all__ = ('BackendFailed',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendFailed:
    """An exchange with the local backend server failed without an answer.

    Attributes
    ----------
    exchange : ids.ExchangeId
        Exchange that failed.
    sent : bool
        Whether any byte of the request may have reached the backend server.
    connection_refused : bool
        Whether a new connection was refused.
    too_large : bool
        Whether the answer exceeded the size limit.
    reset : bool
        Whether the connection was lost and not closed by this node.
    """

    exchange: ids.ExchangeId
    sent: bool
    connection_refused: bool
    too_large: bool = False
    reset: bool = False
