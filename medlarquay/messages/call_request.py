"""A request that an ingress sends to the owner of a backend server."""

import dataclasses
import math

from medlarquay import ids, states

__all__ = ('CallRequest',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallRequest:
    """A request that an ingress sends to the owner of a backend server.

    Attributes
    ----------
    call_id : ids.CallId
        Number of the call on the link or at the ingress.
    team : ids.TeamName
        Team of the service.
    service : ids.ServiceName
        Service to which the route leads.
    method : bytes
        HTTP method.
    target : bytes
        Path and query as sent by the caller.
    headers : tuple[tuple[bytes, bytes], ...]
        Header fields in order; names in lower case.
    body : bytes
        Whole body.
    rank : states.Rank
        Priority class.
    idempotent : bool
        Whether the request may run more than once.
    deadline : float
        Seconds on the local monotonic clock; the codec sends the remaining
        time.
    route : ids.RouteName
        Route of the request; requests of one route take similar times.
    due : float
        Time after which an answer is worth less to the caller, on the same
        clock; the deadline if the route states none.
    last_attempt : bool
        Whether the ingress will ask no other owner after this one.
    request_key : ids.RequestKey | None
        Idempotency key of a non-idempotent request, if it has one.
    """

    call_id: ids.CallId
    team: ids.TeamName
    service: ids.ServiceName
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    rank: states.Rank
    idempotent: bool
    deadline: float
    route: ids.RouteName = ids.RouteName('')
    due: float = math.inf
    last_attempt: bool = True
    request_key: ids.RequestKey | None = None
