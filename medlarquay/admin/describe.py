"""Views of a node's state, configuration and counters."""

import math
from collections.abc import Iterator

from medlarquay import replica, snapshots, states
from medlarquay.admin import observed_node, views

__all__ = (
    'count_backends',
    'describe_counters',
    'describe_health',
    'describe_members',
    'describe_readiness',
    'describe_rejected',
    'describe_routes',
    'describe_version',
)

_MS_PER_SECOND = 1000


def describe_health(node: observed_node.ObservedNode) -> views.HealthView:
    """Return the liveness of the process, with the lifecycle state."""
    return views.HealthView(state=node.state.value)


def describe_readiness(node: observed_node.ObservedNode) -> views.ReadyView:
    """Return whether the node is ready to take calls."""
    serving = node.state is states.NodeState.SERVING
    return views.ReadyView(
        ready=serving and node.snapshot is not None,
        state=node.state.value,
    )


def describe_version(node: observed_node.ObservedNode) -> views.VersionView:
    """Return the identity of the node and its active revisions."""
    current = node.snapshot
    return views.VersionView(
        instance=node.hello.instance,
        incarnation=node.hello.incarnation,
        region=node.hello.region,
        data_centre=node.hello.data_centre,
        state=node.state.value,
        tree_revision=0 if current is None else current.tree_revision,
        list_revision=0 if current is None else current.list_revision,
        confirmed_ms_ago=_confirmed_ms_ago(node),
        documents_rejected=len(node.rejected),
    )


def describe_rejected(
    node: observed_node.ObservedNode,
) -> tuple[views.RejectedView, ...]:
    """Return the newest version of each document that is not in force."""
    return tuple(
        views.RejectedView(
            team=record.team,
            revision=record.revision,
            revision_in_force=record.accepted_revision,
            reason=record.rejection,
        )
        for record in node.rejected
    )


def describe_routes(
    node: observed_node.ObservedNode,
) -> Iterator[views.RouteView]:
    """Iterate over the active routes: by host, longest prefix first."""
    if node.snapshot is None:
        return
    for _, routes in sorted(node.snapshot.routes.items()):
        for route in routes:
            yield _describe_route(node.snapshot, route)


def describe_members(
    node: observed_node.ObservedNode,
) -> Iterator[views.MemberView]:
    """Iterate over the instance list, by team, service and instance."""
    if node.snapshot is None:
        return
    for _, records in sorted(node.snapshot.instances.by_service.items()):
        yield from map(_describe_member, records)


def describe_counters(
    node: observed_node.ObservedNode,
) -> tuple[views.CounterView, ...]:
    """Return the count of each reason that occurred."""
    return tuple(
        views.CounterView(
            counter=type(member).__name__,
            reason=str(member.value),
            count=count,
        )
        for member, count in node.counters.counts.items()
    )


def count_backends(
    snapshot: snapshots.Snapshot,
    service: snapshots.Service,
    state: states.InstanceState,
) -> int:
    """Return the number of backend servers of a service in one state."""
    return sum(record.state is state for record in snapshot.backends(service))


def _confirmed_ms_ago(node: observed_node.ObservedNode) -> int | None:
    # A node that was paused has -inf until the source confirms its
    # configuration again.
    if node.confirmed_at is None or math.isinf(node.confirmed_at):
        return None
    return int((node.clock() - node.confirmed_at) * _MS_PER_SECOND)


def _describe_route(
    snapshot: snapshots.Snapshot,
    route: snapshots.Route,
) -> views.RouteView:
    return views.RouteView(
        host=route.parameters.host,
        path_prefix=route.parameters.path_prefix,
        team=route.service.team,
        service=route.parameters.service,
        rank=route.parameters.rank.value,
        timeout_ms=route.parameters.timeout_ms,
        idempotent_methods=route.parameters.idempotent_methods,
        live=count_backends(snapshot, route.service, states.InstanceState.LIVE),
        leaving=count_backends(
            snapshot, route.service, states.InstanceState.LEAVING
        ),
    )


def _describe_member(record: replica.InstanceRecord) -> views.MemberView:
    return views.MemberView(
        instance=record.instance,
        revision=record.revision,
        team=record.team,
        service=record.service,
        region=record.region,
        data_centre=record.data_centre,
        host=record.host,
        caller_port=record.caller_port,
        peer_port=record.peer_port,
        slots=record.slots,
        state=record.state.value,
    )
