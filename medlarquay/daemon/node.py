"""Composition of a node."""

import random
import secrets
import time

from twisted.internet import interfaces

from medlarquay import ids, ingress, messages, telemetry
from medlarquay.daemon import node_settings
from medlarquay.tasks import (
    backend,
    caller_listener,
    configuration,
    owner,
    peer_links,
    peer_listener,
    router,
    source_reader,
)

__all__ = ('start_node',)

_INCARNATION_BYTES = 8
_SEED_BITS = 64


def start_node(
    *,
    reactor: interfaces.IReactorCore,
    settings: node_settings.NodeSettings,
) -> None:
    """Build the tasks of a node, connect them and start them."""
    clock = time.monotonic
    hello = messages.Hello(
        instance=settings.instance,
        incarnation=ids.Incarnation(secrets.token_hex(_INCARNATION_BYTES)),
        region=settings.region,
        data_centre=settings.data_centre,
    )
    counters = telemetry.Counters()
    links = peer_links.PeerLinks(
        reactor=reactor,
        hello=hello,
        clock=clock,
        counters=counters,
    )
    own = owner.Owner(links=links, clock=clock)
    own.backend = backend.Backend(
        reactor=reactor,
        owner=own,
        host=settings.backend_host,
        port=settings.backend_port,
    )
    routing = router.Router(
        hello=hello,
        links=links,
        owner=own,
        clock=clock,
        reporter=ingress.CallReporter(
            counters=counters,
            records=telemetry.RecordLog(),
            wall_clock=time.time,
        ),
        random=random.Random(secrets.randbits(_SEED_BITS)),
    )
    routing.start(reactor=reactor)
    own.router = routing
    links.router = routing
    links.owner = own
    callers = caller_listener.CallerListener(router=routing, reactor=reactor)
    routing.listener = callers
    current = configuration.Configuration(subscribers=(routing, own))
    reader = source_reader.SourceReader(
        reactor=reactor,
        base_url=settings.source_url,
        configuration=current,
        clock=clock,
    )
    peers = peer_listener.PeerListener(calls=links)
    peers.listen(reactor, host=settings.host, port=settings.peer_port)
    callers.listen(reactor, host=settings.host, port=settings.caller_port)
    reader.start()
