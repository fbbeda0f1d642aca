"""Event: the backend server answered a request."""

import dataclasses

from medlarquay import ids

__all__ = ('RequestFinished',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestFinished:
    """Event: the backend server answered a request.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange at the owner.
    answer_bytes : int
        Size of the answer, in bytes.
    link_bytes : int
        Bytes to be sent over the machine's link: the size of the answer times
        the number of its callers on other nodes.
    """

    exchange: ids.ExchangeId
    answer_bytes: int = 0
    link_bytes: int = 0
