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
    owner: task.Task,
    deployment: deployments.Deployment,
) -> local_listing.LocalListing:
    """Build the listing task."""
    return local_listing.LocalListing(
        node=hello.instance,
        router=router,
        owner=owner,
        source=deployment.listing,
        reactor=reactor,
        clock=time.monotonic,
    )
