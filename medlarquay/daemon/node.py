"""Composition of a node."""

import random
import time

from twisted.internet import interfaces

from medlarquay import admin
from medlarquay.daemon import (
    build_observed_node,
    call_path,
    distribution,
    distribution_runtime,
    known_peers,
    lifecycle,
    node_settings,
    signals,
)
from medlarquay.daemon import deployment as deployments
from medlarquay.tasks import (
    connector,
    loop_watch,
    peer_links,
    peer_listener,
    readiness,
    running_clock,
    source_fetcher,
)

__all__ = ('start_node',)


def start_node(
    *,
    reactor: interfaces.IReactorCore,
    settings: node_settings.NodeSettings,
    deployment: deployments.Deployment | None = None,
) -> distribution.Distribution:
    """Build the tasks of a node, connect them and start them.

    Parameters
    ----------
    reactor : IReactorCore
        Reactor of the process.
    settings : NodeSettings
        Settings of the node.
    deployment : Deployment, optional
        Properties that depend on the platform; by default, the configuration
        is read over HTTP from the source URL of the settings, and the header
        fields are the standard ones.

    Returns
    -------
    Distribution
        Started distribution tasks, whose counters tests and benches read.
    """
    clock = time.monotonic
    if deployment is None:
        deployment = deployments.Deployment(
            fetcher=source_fetcher.HttpFetcher(base_url=settings.source_url),
        )
    observed = build_observed_node.build_observed_node(settings, clock)
    admin_task = admin.Admin(node=observed)
    calls = call_path.build_call_path(
        reactor=reactor,
        settings=settings,
        observed=observed,
        deployment=deployment,
    )
    readiness_task = readiness.Readiness(reactor=reactor)
    lifecycle_task = lifecycle.Lifecycle(
        reactor=reactor,
        clock=clock,
        parts=(calls.owner, calls.router, calls.callers, calls.links),
        # On a stop, the router reports calls that are still open, and callers
        # and links close connections whose answers were sent.
        subscribers=(
            admin_task,
            readiness_task,
            calls.router,
            calls.callers,
            calls.links,
        ),
        drain_timeout_s=settings.drain_timeout_s,
        stop_times=deployment.stop_times,
    )
    calls.owner.lifecycle = lifecycle_task
    calls.router.lifecycle = lifecycle_task
    calls.callers.lifecycle = lifecycle_task
    calls.links.closing.lifecycle = lifecycle_task
    distribution_tasks = distribution.build_distribution(
        own_peer=known_peers.own_peer(settings),
        hello=observed.hello,
        seeds=known_peers.seed_peers(settings),
        # The lifecycle is last: the others must have the configuration before
        # it announces that the node is serving.
        subscribers=(
            calls.router,
            calls.owner,
            calls.listing,
            admin_task,
            lifecycle_task,
        ),
        freshness_subscribers=(calls.router, calls.owner, admin_task),
        runtime=distribution_runtime.DistributionRuntime(
            reactor=reactor,
            clock=clock,
            links=connector.TcpConnector(reactor=reactor),
            fetcher=deployment.fetcher,
            discovery=deployment.discovery,
            randomness=random.SystemRandom(),
            counters=observed.counters,
            running_clock=running_clock.RUNNING_CLOCK.seconds,
        ),
    )
    distribution_tasks.relay.uplink = calls.uplink
    distribution_tasks.configuration.rejection_subscribers += (admin_task,)
    peers = peer_listener.PeerListener(
        acceptors={
            peer_links.CALL_PATH: calls.links,
            connector.CONTROL_PATH: distribution_tasks.relay,
        },
    )
    peers.listen(reactor, host=settings.host, port=settings.peer_port)
    calls.callers.connections.listen(
        reactor,
        host=settings.host,
        port=settings.caller_port,
    )
    admin_task.listen(reactor, host=settings.host, port=settings.admin_port)
    if deployment.readiness is not None:
        readiness_task.connections.listen(
            reactor,
            host=deployment.readiness.host,
            port=deployment.readiness.port,
        )
    reactor.callWhenRunning(
        signals.post_on_signal,
        reactor=reactor,
        target=lifecycle_task,
    )
    watch = loop_watch.LoopWatch(
        reactor=reactor,
        clock=clock,
        histograms=observed.counters.histograms,
    )
    watch.start()
    distribution_tasks.start()
    return distribution_tasks
