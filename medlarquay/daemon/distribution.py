"""Composition of the tasks that distribute the configuration."""

import dataclasses

from medlarquay import messages, replica, topology
from medlarquay.daemon import surroundings
from medlarquay.tasks import (
    configuration,
    follower,
    membership,
    relay,
    source_reader,
    survey,
    task,
)

__all__ = ('Distribution', 'build_distribution')

# The parent is asked in any case; more peers than this add little.
_SURVEYED = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Distribution:
    """The tasks that distribute the configuration.

    Attributes
    ----------
    configuration : Configuration
        Owns the replica.
    follower : Follower
        Follows the parent.
    relay : Relay
        Passes the configuration on; accepts control links.
    reader : SourceReader
        Reads the source.
    membership : Membership
        Chooses the parent.
    survey : Survey
        Asks peers for their versions.
    peers : tuple of Peer
        Peers that are asked at the start.
    """

    configuration: configuration.Configuration
    follower: follower.Follower
    relay: relay.Relay
    reader: source_reader.SourceReader
    membership: membership.Membership
    survey: survey.Survey
    peers: tuple[topology.Peer, ...]

    def start(self) -> None:
        """Start to ask peers, follow and read."""
        self.configuration.start()
        self.survey.start(self.peers)
        self.membership.start()


def build_distribution(
    *,
    own: topology.Peer,
    hello: messages.Hello,
    seeds: tuple[topology.Peer, ...],
    subscribers: tuple[task.Task, ...],
    freshness_subscribers: tuple[task.Task, ...],
    around: surroundings.Surroundings,
) -> Distribution:
    """Build the tasks and connect them.

    Parameters
    ----------
    own : Peer
        This node.
    hello : Hello
        First message on each link.
    seeds : tuple of Peer
        Addresses from the settings, possibly with the own one.
    subscribers, freshness_subscribers : tuple of Task
        Receive ``SnapshotReplaced`` and ``FreshnessConfirmed``.
    around : Surroundings
        Timers, links, source and randomness.
    """
    others = [seed for seed in seeds if seed.address != own.address]
    peers = tuple(around.randomness.sample(others, min(_SURVEYED, len(others))))
    passing = relay.Relay(
        reactor=around.reactor,
        clock=around.clock,
        running=around.running,
    )
    current = configuration.Configuration(
        subscribers=subscribers,
        freshness_subscribers=(passing, *freshness_subscribers),
        floor=replica.Floor(
            peers=tuple(peer.address for peer in peers),
            startup_deadline=around.clock() + replica.STARTUP_S,
        ),
        reactor=around.reactor,
        clock=around.clock,
        counters=around.counters,
    )
    distribution = Distribution(
        configuration=current,
        follower=follower.Follower(
            reactor=around.reactor,
            links=around.links,
            hello=hello,
            clock=around.clock,
            running=around.running,
        ),
        relay=passing,
        reader=source_reader.SourceReader(
            reactor=around.reactor,
            fetcher=around.fetcher,
            randomness=around.randomness,
            clock=around.clock,
        ),
        membership=membership.Membership(
            local_peer=own,
            seeds=seeds,
            randomness=around.randomness,
            reactor=around.reactor,
            clock=around.clock,
        ),
        survey=survey.Survey(
            reactor=around.reactor,
            links=around.links,
            hello=hello,
            clock=around.clock,
        ),
        peers=peers,
    )
    _connect(distribution)
    return distribution


def _connect(built: Distribution) -> None:
    built.follower.configuration = built.configuration
    built.follower.membership = built.membership
    built.relay.configuration = built.configuration
    built.relay.membership = built.membership
    built.reader.configuration = built.configuration
    built.reader.membership = built.membership
    built.membership.follower = built.follower
    built.membership.reader = built.reader
    built.survey.configuration = built.configuration
    built.configuration.relay = built.relay
    # The relay passes a change on before the node itself acts on it.
    built.configuration.distribution = (
        built.follower,
        built.relay,
        built.reader,
        built.survey,
        built.membership,
    )
