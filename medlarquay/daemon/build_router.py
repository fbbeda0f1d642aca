"""Composition of the router and the listener for callers."""

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
    ingress_settings: ingress.IngressSettings,
) -> tuple[router.Router, caller_listener.CallerListener]:
    """Build the router and the listener for callers and connect them."""
    router_task = router.Router(
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
    router_task.settings = ingress_settings
    router_task.routing_state.budgets.fleet_burst = ingress_settings.fleet_burst
    router_task.start(reactor=reactor)
    callers = caller_listener.CallerListener(
        router=router_task,
        reactor=reactor,
        clock=time.monotonic,
        histograms=observed.counters.histograms,
        running=running_clock.RUNNING_CLOCK.seconds,
    )
    router_task.listener = callers
    return router_task, callers
