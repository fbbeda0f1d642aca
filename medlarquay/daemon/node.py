"""Composition of a node."""

import random
import time

from twisted.internet import interfaces

from medlarquay import admin, ingress
from medlarquay.daemon import (
    build_owner,
    distribution,
    known_peers,
    lifecycle,
    node_settings,
    observed_node,
    signals,
    surroundings,
)
from medlarquay.tasks import (
    caller_listener,
    connector,
    peer_links,
    peer_listener,
    router,
    source_fetcher,
)

__all__ = ('start_node',)


def start_node(
    *,
    reactor: interfaces.IReactorCore,
    settings: node_settings.NodeSettings,
) -> distribution.Distribution:
    """Build the tasks of a node, connect them and start them.

    Returns
    -------
    Distribution
        Tasks whose counters are measured.
    """
    clock = time.monotonic
    observed = observed_node.observe_node(settings, clock)
    operators = admin.Admin(node=observed)
    links = peer_links.PeerLinks(
        reactor=reactor,
        hello=observed.hello,
        clock=clock,
        counters=observed.counters,
    )
    own = build_owner.build_owner(
        reactor=reactor,
        settings=settings,
        hello=observed.hello,
        links=links,
        counters=observed.counters,
        records=observed.records,
    )
    routing = router.Router(
        hello=observed.hello,
        links=links,
        owner=own,
        clock=clock,
        reporter=ingress.CallReporter(
            counters=observed.counters,
            records=observed.records,
            wall_clock=time.time,
        ),
        # SystemRandom makes a system call for each choice.
        random=random.Random(),
    )
    routing.start(reactor=reactor)
    own.router = routing
    links.router = routing
    links.owner = own
    callers = caller_listener.CallerListener(router=routing)
    routing.listener = callers
    life = lifecycle.Lifecycle(
        reactor=reactor,
        clock=clock,
        parts=(own, routing, callers, links),
        subscribers=(operators,),
        drain_timeout_s=settings.drain_timeout_s,
    )
    own.lifecycle = life
    routing.lifecycle = life
    distributing = distribution.build_distribution(
        own=known_peers.own_peer(settings),
        hello=observed.hello,
        seeds=known_peers.seed_peers(settings),
        # The lifecycle comes last, so that all others have the configuration
        # when the node is announced as serving.
        subscribers=(routing, own, operators, life),
        freshness_subscribers=(own, operators),
        around=surroundings.Surroundings(
            reactor=reactor,
            clock=clock,
            links=connector.TcpConnector(reactor=reactor),
            fetcher=source_fetcher.HttpFetcher(base_url=settings.source_url),
            randomness=random.SystemRandom(),
            counters=observed.counters,
        ),
    )
    peers = peer_listener.PeerListener(
        acceptors={
            peer_links.CALL_PATH: links,
            connector.CONTROL_PATH: distributing.relay,
        },
    )
    peers.listen(reactor, host=settings.host, port=settings.peer_port)
    callers.listen(reactor, host=settings.host, port=settings.caller_port)
    operators.listen(reactor, host=settings.host, port=settings.admin_port)
    reactor.callWhenRunning(
        signals.post_on_signal,
        reactor=reactor,
        target=life,
    )
    distributing.start()
    return distributing
