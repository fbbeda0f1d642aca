"""An attempt of a call that waits for the result of a job."""

import dataclasses

from medlarquay import ids

__all__ = ('WaitingCaller',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WaitingCaller:
    """An attempt of a call that waits for the result of a job at the owner.

    Several attempts with the same key may wait for one job.

    Attributes
    ----------
    link : LinkId
        Link to send the result on; 0 for the ingress of this node.
    call_id : CallId
        Number of the call on the link.
    deadline : float
        Deadline at the owner, seconds on the monotonic clock.
    request_id : str
        Id of the request for logs; empty if it has none.
    replayed : bool
        Whether it joined the job of an earlier attempt with the same key.
    """

    link: ids.LinkId
    call_id: ids.CallId
    deadline: float
    request_id: str = ''
    replayed: bool = False
