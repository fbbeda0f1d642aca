"""Composition of a node."""

import random
import secrets
import time

from twisted.internet import interfaces

from medlarquay import ids, messages, topology
from medlarquay.daemon import distribution, node_settings, surroundings
from medlarquay.tasks import (
    backend,
    caller_listener,
    connector,
    owner,
    peer_links,
    peer_listener,
    router,
    source_fetcher,
)

__all__ = ('start_node',)

_INCARNATION_BYTES = 8


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
    hello = messages.Hello(
        instance=settings.instance,
        incarnation=ids.Incarnation(secrets.token_hex(_INCARNATION_BYTES)),
        region=settings.region,
        data_centre=settings.data_centre,
    )
    links = peer_links.PeerLinks(reactor=reactor, hello=hello, clock=clock)
    own = owner.Owner(links=links, clock=clock)
    own.backend = backend.Backend(
        reactor=reactor,
        owner=own,
        host=settings.backend_host,
        port=settings.backend_port,
    )
    routing = router.Router(
        instance=settings.instance,
        links=links,
        owner=own,
        clock=clock,
    )
    own.router = routing
    links.router = routing
    links.owner = own
    callers = caller_listener.CallerListener(router=routing)
    routing.listener = callers
    distributing = distribution.build_distribution(
        own=_own_peer(settings),
        hello=hello,
        seeds=_seed_peers(settings),
        subscribers=(routing, own),
        freshness_subscribers=(),
        around=surroundings.Surroundings(
            reactor=reactor,
            clock=clock,
            links=connector.TcpConnector(reactor=reactor),
            fetcher=source_fetcher.HttpFetcher(base_url=settings.source_url),
            randomness=random.SystemRandom(),
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
    distributing.start()
    return distributing


def _own_peer(settings: node_settings.NodeSettings) -> topology.Peer:
    return topology.Peer(
        instance=settings.instance,
        region=settings.region,
        data_centre=settings.data_centre,
        host=settings.host,
        port=settings.peer_port,
    )


def _seed_peers(
    settings: node_settings.NodeSettings,
) -> tuple[topology.Peer, ...]:
    return tuple(
        topology.Peer(
            instance=ids.InstanceId(''),
            region=ids.RegionName(''),
            data_centre=ids.DataCentreName(''),
            host=host,
            port=port,
        )
        for host, port in settings.seeds
    )
