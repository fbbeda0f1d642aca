"""Composition of the owner with its connections to the backend server."""

from twisted.internet import interfaces

from medlarquay import admin, ledger
from medlarquay.daemon import deployment as deployments
from medlarquay.daemon import node_settings
from medlarquay.tasks import backend, clocks, owner, task

__all__ = ('build_owner',)


def build_owner(
    *,
    reactor: interfaces.IReactorCore,
    settings: node_settings.NodeSettings,
    observed: admin.ObservedNode,
    links: task.Task,
    deployment: deployments.Deployment,
) -> owner.Owner:
    """Build the owner and the backend task and connect them."""
    clock = clocks.Clocks()
    own = owner.Owner(
        hello=observed.hello,
        links=links,
        reactor=reactor,
        clock=clock,
        counters=observed.counters,
        records=observed.records,
    )
    own.local_backend = deployment.local
    own.local_backend.link_bytes_per_s = settings.link_bytes_per_s
    own.ledger = ledger.Ledger(
        instance=observed.hello.instance,
        incarnation=observed.hello.incarnation,
        retention_s=settings.key_retention_s,
    )
    own.backend = backend.Backend(
        reactor=reactor,
        owner=own,
        host=settings.backend_host,
        port=settings.backend_port,
        clock=clock.monotonic,
        names=deployment.local.names,
    )
    return own
