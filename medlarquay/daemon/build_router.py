"""Composition of the ingress."""

import random
import time

from twisted.internet import interfaces

from medlarquay import admin, ingress
from medlarquay.tasks import caller_listener, router, running_clock, task

__all__ = ('build_router',)


def build_router(
    *,
    reactor: interfaces.IReactorCore,
    observed: admin.ObservedNode,
    links: task.Task,
    owner: task.Task,
    front: ingress.IngressSettings,
) -> tuple[router.Router, caller_listener.CallerListener]:
    """Build the router and the listener for callers and connect them."""
    routing = router.Router(
        hello=observed.hello,
        links=links,
        owner=owner,
        clock=time.monotonic,
        reporter=ingress.CallReporter(
            counters=observed.counters,
            records=observed.records,
            wall_clock=time.time,
        ),
        # SystemRandom makes a system call for each choice.
        random=random.Random(),
    )
    routing.settings = front
    routing.routing_state.budgets.fleet_burst = front.fleet_burst
    routing.start(reactor=reactor)
    callers = caller_listener.CallerListener(
        router=routing,
        reactor=reactor,
        clock=time.monotonic,
        histograms=observed.counters.histograms,
        running=running_clock.RUNNING_CLOCK.seconds,
    )
    routing.listener = callers
    return routing, callers
