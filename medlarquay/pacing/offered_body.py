"""Large body that another node offers to send."""

import dataclasses

from medlarquay import ids, states

__all__ = ('OfferedBody',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OfferedBody:
    """Large body that another node offers to send.

    Attributes
    ----------
    link : LinkId
        Link on which it would arrive.
    call_id : CallId
        Call that it belongs to.
    length : int
        Length in bytes.
    rank : Rank
        Priority class of the call.
    due : float
        Time by which the answer is wanted, seconds on the monotonic clock.
    arrive_by : float
        Time by which the body must arrive to be of use, on the same clock.
    request_id : str
        Id of the request for logs; empty if it has none.
    """

    link: ids.LinkId
    call_id: ids.CallId
    length: int
    rank: states.Rank
    due: float
    arrive_by: float
    request_id: str = ''

    @property
    def key(self) -> tuple[ids.LinkId, ids.CallId]:
        """Identity of the call."""
        return self.link, self.call_id
