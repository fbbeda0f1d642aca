"""Process resources that the distribution tasks use."""

import dataclasses
import random
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import telemetry
from medlarquay.tasks import connector, peer_discovery, source_fetcher

__all__ = ('DistributionRuntime',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DistributionRuntime:
    """Process resources that the distribution tasks use.

    Attributes
    ----------
    reactor : IReactorTime
        Schedules timers.
    clock : callable
        Returns seconds on the monotonic clock.
    links : Connector
        Opens control links.
    fetcher : SourceFetcher
        Reads the source.
    randomness : random.Random
        Draws seeds, phases and jitter.
    counters : Counters
        Counters of the node.
    discovery : PeerDiscovery or None
        Finds some other nodes in the source; None if only the seeds are asked.
    running_clock : callable or None
        Returns seconds for which the process has run, without its pauses;
        used for inactivity timeouts of links. None for the clock.
    """

    reactor: interfaces.IReactorTime
    clock: Callable[[], float]
    links: connector.Connector
    fetcher: source_fetcher.SourceFetcher
    randomness: random.Random
    counters: telemetry.Counters
    discovery: peer_discovery.PeerDiscovery | None = None
    running_clock: Callable[[], float] | None = None
