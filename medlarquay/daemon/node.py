"""Composition of a node."""

import secrets
import time
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import admin, ids, messages, telemetry
from medlarquay.daemon import build_owner, lifecycle, node_settings, signals
from medlarquay.tasks import (
    caller_listener,
    configuration,
    peer_links,
    peer_listener,
    router,
    source_reader,
)

__all__ = ('start_node',)

_INCARNATION_BYTES = 8


def start_node(
    *,
    reactor: interfaces.IReactorCore,
    settings: node_settings.NodeSettings,
) -> None:
    """Build the tasks of a node, connect them and start them."""
    clock = time.monotonic
    observed = _observe(settings, clock)
    operators = admin.Admin(node=observed)
    links = peer_links.PeerLinks(
        reactor=reactor, hello=observed.hello, clock=clock
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
    life = lifecycle.Lifecycle(
        reactor=reactor,
        clock=clock,
        parts=(own, routing, callers, links),
        subscribers=(operators,),
        drain_timeout_s=settings.drain_timeout_s,
    )
    own.lifecycle = life
    routing.lifecycle = life
    # The lifecycle comes last, so that all others have the configuration when
    # the node is announced as serving.
    current = configuration.Configuration(
        subscribers=(routing, own, operators, life),
    )
    reader = source_reader.SourceReader(
        reactor=reactor,
        base_url=settings.source_url,
        configuration=current,
        clock=clock,
    )
    peer_listener.PeerListener(calls=links).listen(
        reactor,
        host=settings.host,
        port=settings.peer_port,
    )
    callers.listen(reactor, host=settings.host, port=settings.caller_port)
    operators.listen(reactor, host=settings.host, port=settings.admin_port)
    reactor.callWhenRunning(
        signals.post_on_signal,
        reactor=reactor,
        target=life,
    )
    reader.start()


def _observe(
    settings: node_settings.NodeSettings,
    clock: Callable[[], float],
) -> admin.ObservedNode:
    return admin.ObservedNode(
        hello=messages.Hello(
            instance=settings.instance,
            incarnation=ids.Incarnation(secrets.token_hex(_INCARNATION_BYTES)),
            region=settings.region,
            data_centre=settings.data_centre,
        ),
        counters=telemetry.Counters(),
        records=telemetry.RecordLog(),
        clock=clock,
    )
