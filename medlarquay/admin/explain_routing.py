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
    """Return the route that a request matches and how it is treated.

    Parameters
    ----------
    node : ObservedNode
        Node whose active configuration is consulted.
    host, target, method : str
        Host header, path with query, and method of the request.
    """
    explained = views.ExplainView(
        host=host,
        target=target,
        method=method,
        refusal=states.RefusalReason.NO_CONFIGURATION.value,
    )
    if node.snapshot is None:
        return explained
    hostname = host.partition(':')[0]
    route = snapshots.match_route(
        node.snapshot,
        host=hostname.encode(),
        target=target.encode(),
    )
    explained = dataclasses.replace(
        explained,
        tree_revision=node.snapshot.tree_revision,
    )
    if route is None:
        if node.snapshot.is_configured(hostname.lower()):
            return dataclasses.replace(
                explained, refusal=states.RefusalReason.NO_ROUTE.value
            )
        return explained
    return _explain_match(explained, node.snapshot, route)


def _explain_match(
    explained: views.ExplainView,
    snapshot: snapshots.Snapshot,
    route: snapshots.Route,
) -> views.ExplainView:
    live = describe.count_backends(
        snapshot, route.service, states.InstanceState.LIVE
    )
    refusal = None if live else states.RefusalReason.NO_BACKEND.value
    return dataclasses.replace(
        explained,
        refusal=refusal,
        team=route.service.team,
        service=route.parameters.service,
        path_prefix=route.parameters.path_prefix,
        rank=route.parameters.rank.value,
        timeout_ms=route.parameters.timeout_ms,
        idempotent=explained.method in route.parameters.idempotent_methods,
        live=live,
        leaving=describe.count_backends(
            snapshot, route.service, states.InstanceState.LEAVING
        ),
    )
