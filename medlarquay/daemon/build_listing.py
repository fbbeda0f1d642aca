"""Composition of the task that watches the own entry."""

import time

from twisted.internet import interfaces

from medlarquay import messages
from medlarquay.daemon import deployment as deployments
from medlarquay.tasks import local_listing, task

__all__ = ('build_listing',)


def build_listing(
    *,
    reactor: interfaces.IReactorTime,
    hello: messages.Hello,
    router: task.Task,
    deployment: deployments.Deployment,
) -> tuple[task.Task, ...]:
    """Build the listing task, if the source answers about one instance."""
    if deployment.listing is None:
        return ()
    listing = local_listing.LocalListing(
        node=hello.instance,
        router=router,
        source=deployment.listing,
        reactor=reactor,
        clock=time.monotonic,
    )
    return (listing,)
