"""Offer of a large request, sent before its body."""

import dataclasses

from medlarquay import ids, states

__all__ = ('CallOffered',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallOffered:
    """Offer of a large request, sent before its body.

    The owner answers with ``CallGranted`` once the link of its machine has
    room for the body, or with ``CallRefused``. So no body is sent that the
    owner would refuse, and bodies from many nodes do not fill its link.

    Attributes
    ----------
    call_id : ids.CallId
        Number of the call on the link.
    team, service : ids.TeamName, ids.ServiceName
        Service to which the route leads.
    route : ids.RouteName
        Route of the request.
    rank : states.Rank
        Priority class.
    deadline, due : float
        As in ``CallRequest``.
    last_attempt : bool
        Whether the ingress will ask no other owner after this one.
    body_bytes : int
        Length of the body.
    request_id : str
        Id of the request for logs; empty if it has none.
    """

    call_id: ids.CallId
    team: ids.TeamName
    service: ids.ServiceName
    route: ids.RouteName
    rank: states.Rank
    deadline: float
    due: float
    last_attempt: bool
    body_bytes: int
    request_id: str = ''
