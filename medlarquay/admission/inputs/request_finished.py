"""The backend server answered a request."""

import dataclasses

from medlarquay import ids

__all__ = ('RequestFinished',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestFinished:
    """The backend server answered a request.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange at the owner.
    answer_bytes : int
        Size of the answer.
    link_bytes : int
        Bytes that leave by the link of the machine: the answer for each
        caller on another node.
    """

    exchange: ids.ExchangeId
    answer_bytes: int = 0
    link_bytes: int = 0
