"""Composition of the owner task and the backend task."""

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
    """Build the owner task and the backend task and connect them."""
    clock = clocks.Clocks()
    owner_task = owner.Owner(
        hello=observed.hello,
        links=links,
        reactor=reactor,
        clock=clock,
        counters=observed.counters,
        records=observed.records,
    )
    owner_task.local_backend = deployment.local
    owner_task.local_backend.leaving_s = settings.leaving_s
    owner_task.set_link_rate(settings.link_bytes_per_s)
    owner_task.ledger = ledger.Ledger(
        instance=observed.hello.instance,
        incarnation=observed.hello.incarnation,
        retention_s=settings.key_retention_s,
    )
    owner_task.backend = backend.Backend(
        reactor=reactor,
        owner=owner_task,
        host=settings.backend_host,
        port=settings.backend_port,
        clock=clock.monotonic,
        names=deployment.local.names,
    )
    return owner_task
