"""Creation of calls from the requests that arrive at the ingress."""

from medlarquay import events, routing, snapshots, states
from medlarquay.ingress import ingress_call, key_request, routing_table

__all__ = ('open_call',)

_Opened = (
    ingress_call.IngressCall | key_request.KeyRequest | routing.ChoiceRefused
)

# A child looks for another parent when its data are this old. Even without a
# fault the data of a leaf of a deep tree may be 4 s old; it then briefly
# refuses with FRESHNESS_LOST instead of NO_ROUTE, which is harmless.
_MAX_CONFIRMATION_AGE_S = 3.5

_HOST = b'host'
_POST = b'POST'


def open_call(
    message: events.RequestReceived,
    table: routing_table.RoutingTable,
    round_robin: routing.SplitRoundRobin,
    now: float,
) -> _Opened:
    """Match a request to its route, or to the path for request keys.

    Parameters
    ----------
    message : RequestReceived
        Request.
    table : RoutingTable
        Snapshot in force.
    round_robin : SplitRoundRobin
        Distributes the requests of split routes.
    now : float
        Seconds on the monotonic clock.

    Returns
    -------
    IngressCall, KeyRequest or ChoiceRefused
        Call of a backend server, request for a new key, or the reason of the
        refusal.
    """
    snapshot = table.snapshot
    if snapshot is None or not snapshot.documents:
        return _refuse(states.RefusalReason.NO_CONFIGURATION)
    if message.target.partition(b'?')[0] == routing.KEY_PATH:
        opened = _open_key(message, snapshot, _host(message))
    else:
        opened = _open_route(message, table, round_robin, now)
    if opened is not None:
        return opened
    if snapshot.is_configured(_host(message).decode(errors='replace')):
        return _no_route(table, now)
    return _refuse(states.RefusalReason.NO_CONFIGURATION)


def _open_route(
    message: events.RequestReceived,
    table: routing_table.RoutingTable,
    round_robin: routing.SplitRoundRobin,
    now: float,
) -> _Opened | None:
    snapshot = table.snapshot
    if snapshot is None:
        return None
    host = _host(message)
    route = snapshots.match_route(snapshot, host=host, target=message.target)
    if route is None:
        return None
    parameters = routing.read_parameters(message, route, now)
    if isinstance(parameters, routing.ChoiceRefused):
        return parameters
    if parameters.deadline <= now:
        return _refuse(states.RefusalReason.DEADLINE_PASSED)
    return ingress_call.IngressCall(
        message=message,
        route=route,
        service=round_robin.next_service(route),
        parameters=parameters,
        deadline=parameters.deadline + ingress_call.OWNER_DEADLINE_MARGIN_S,
        received_at=now,
        revision=snapshot.tree_revision,
        confirmed_at=table.confirmed_at,
    )


def _open_key(
    message: events.RequestReceived,
    snapshot: snapshots.Snapshot,
    host: bytes,
) -> _Opened | None:
    service = None
    if message.method == _POST:
        service = routing.service_for_key(
            snapshot,
            host=host,
            target=message.target,
        )
    if service is None:
        return None
    return key_request.KeyRequest(message=message, service=service)


def _no_route(
    table: routing_table.RoutingTable,
    now: float,
) -> routing.ChoiceRefused:
    # NO_ROUTE states that no configuration in force has the route. Changes
    # accepted since the last confirmation are not known to this node.
    if now - table.confirmed_at <= _MAX_CONFIRMATION_AGE_S:
        return _refuse(states.RefusalReason.NO_ROUTE)
    return _refuse(states.RefusalReason.FRESHNESS_LOST)


def _host(message: events.RequestReceived) -> bytes:
    for name, content in message.headers:
        if name == _HOST:
            return content.partition(b':')[0].lower()
    return b''


def _refuse(reason: states.RefusalReason) -> routing.ChoiceRefused:
    return routing.ChoiceRefused(reason=reason)
