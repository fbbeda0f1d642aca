"""Explanation of how a request would be routed."""

import dataclasses

from medlarquay import snapshots, states
from medlarquay.admin import describe, observed_node, views

__all__ = ('explain_routing',)


def explain_routing(
    node: observed_node.ObservedNode,
    *,
    host: str,
    target: str,
    method: str,
) -> views.ExplainView:
    """Return the route of a request and what its settings make of it.

    Parameters
    ----------
    node : ObservedNode
        Node with its configuration in force.
    host, target, method : str
        The request, as its caller would send it.
    """
    request = views.ExplainView(
        host=host,
        target=target,
        method=method,
        refusal=states.RefusalReason.NO_CONFIGURATION.value,
    )
    if node.snapshot is None:
        return request
    route = snapshots.match_route(
        node.snapshot,
        host=host.partition(':')[0].encode(),
        target=target.encode(),
    )
    request = dataclasses.replace(
        request,
        tree_revision=node.snapshot.tree_revision,
        refusal=states.RefusalReason.NO_ROUTE.value,
    )
    return request if route is None else _matched(request, route)


def _matched(
    request: views.ExplainView,
    route: snapshots.Route,
) -> views.ExplainView:
    live = describe.count_backends(route.service, states.InstanceState.LIVE)
    refusal = None if live else states.RefusalReason.NO_BACKEND.value
    return dataclasses.replace(
        request,
        refusal=refusal,
        team=route.service.team,
        service=route.parameters.service,
        path_prefix=route.parameters.path_prefix,
        rank=route.parameters.rank.value,
        timeout_ms=route.parameters.timeout_ms,
        idempotent=request.method in route.parameters.idempotent_methods,
        live=live,
        leaving=describe.count_backends(
            route.service,
            states.InstanceState.LEAVING,
        ),
    )
