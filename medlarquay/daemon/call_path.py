"""The tasks that carry calls through a node."""

import dataclasses
import time

from twisted.internet import interfaces

from medlarquay import admin
from medlarquay.daemon import (
    build_listing,
    build_owner,
    build_router,
    node_settings,
)
from medlarquay.daemon import deployment as deployments
from medlarquay.tasks import (
    caller_listener,
    local_listing,
    owner,
    peer_links,
    router,
    running_clock,
    uplink,
)

__all__ = ('CallPath', 'build_call_path')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallPath:
    """The tasks that carry calls through a node.

    Attributes
    ----------
    uplink : Uplink
        Schedules large frames on the network link of the machine.
    links : PeerLinks
        Call links to and from other nodes.
    owner : Owner
        Admits calls to the local backend server.
    router : Router
        Routes the requests of callers.
    callers : CallerListener
        Accepts the connections of callers.
    listing : LocalListing
        Watches the entry of the local backend server.
    """

    uplink: uplink.Uplink
    links: peer_links.PeerLinks
    owner: owner.Owner
    router: router.Router
    callers: caller_listener.CallerListener
    listing: local_listing.LocalListing


def build_call_path(
    *,
    reactor: interfaces.IReactorCore,
    settings: node_settings.NodeSettings,
    observed: admin.ObservedNode,
    deployment: deployments.Deployment,
) -> CallPath:
    """Build the tasks that carry calls and connect them."""
    links = peer_links.PeerLinks(
        reactor=reactor,
        hello=observed.hello,
        clock=time.monotonic,
        counters=observed.counters,
        running_clock=running_clock.RUNNING_CLOCK.seconds,
        link_bytes_per_s=settings.link_bytes_per_s,
    )
    uplink_task = uplink.Uplink(
        reactor=reactor,
        clock=time.monotonic,
        bytes_per_s=settings.link_bytes_per_s,
    )
    uplink_task.links = links
    links.writer.uplink = uplink_task
    owner_task = build_owner.build_owner(
        reactor=reactor,
        settings=settings,
        observed=observed,
        links=links,
        deployment=deployment,
    )
    router_task, callers = build_router.build_router(
        reactor=reactor,
        observed=observed,
        links=links,
        owner=owner_task,
        ingress_settings=deployment.ingress_settings,
    )
    uplink_task.owner = owner_task
    owner_task.router = router_task
    links.router = router_task
    links.owner = owner_task
    return CallPath(
        uplink=uplink_task,
        links=links,
        owner=owner_task,
        router=router_task,
        callers=callers,
        listing=build_listing.build_listing(
            reactor=reactor,
            hello=observed.hello,
            router=router_task,
            owner=owner_task,
            deployment=deployment,
        ),
    )
