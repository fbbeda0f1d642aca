"""Composition of the tasks that distribute the configuration."""

import dataclasses

from medlarquay import messages, replica, topology
from medlarquay.daemon import distribution_runtime
from medlarquay.tasks import (
    configuration,
    discovery,
    follower,
    membership,
    relay,
    source_reader,
    survey,
    task,
)

__all__ = ('Distribution', 'build_distribution')

# Seeds asked for their versions at start, besides the parent, which is always
# asked. More of them add little.
_SURVEYED_PEERS = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Distribution:
    """The tasks that distribute the configuration.

    Attributes
    ----------
    configuration : Configuration
        Owns the replica and publishes snapshots.
    follower : Follower
        Subscribes to the parent.
    relay : Relay
        Forwards changes to the children; accepts control links.
    reader : SourceReader
        Reads the source.
    membership : Membership
        Chooses the parent.
    survey : Survey
        Asks peers for their versions at start.
    discovery : Discovery or None
        Finds a first parent for a node without seeds.
    peers : tuple of Peer
        Seeds that the survey asks.
    """

    configuration: configuration.Configuration
    follower: follower.Follower
    relay: relay.Relay
    reader: source_reader.SourceReader
    membership: membership.Membership
    survey: survey.Survey
    discovery: discovery.Discovery | None
    peers: tuple[topology.Peer, ...]

    def start(self) -> None:
        """Start the tasks."""
        self.configuration.start()
        self.survey.start(self.peers)
        self.membership.start()


def build_distribution(
    *,
    own_peer: topology.Peer,
    hello: messages.Hello,
    seeds: tuple[topology.Peer, ...],
    subscribers: tuple[task.Task, ...],
    freshness_subscribers: tuple[task.Task, ...],
    runtime: distribution_runtime.DistributionRuntime,
) -> Distribution:
    """Build the distribution tasks and connect them.

    Parameters
    ----------
    own_peer : Peer
        This node.
    hello : Hello
        First message on each link.
    seeds : tuple of Peer
        Peers from the settings; this node may be among them.
    subscribers : tuple of Task
        Receive ``SnapshotReplaced``.
    freshness_subscribers : tuple of Task
        Receive ``FreshnessConfirmed``.
    runtime : DistributionRuntime
        Timers, links, source and randomness that the tasks use.
    """
    others = [seed for seed in seeds if seed.address != own_peer.address]
    peers = tuple(
        runtime.randomness.sample(others, min(_SURVEYED_PEERS, len(others)))
    )
    relay_task = relay.Relay(
        reactor=runtime.reactor,
        clock=runtime.clock,
        running_clock=runtime.running_clock,
    )
    configuration_task = configuration.Configuration(
        subscribers=subscribers,
        freshness_subscribers=(relay_task, *freshness_subscribers),
        floor=replica.Floor(
            peers=tuple(peer.address for peer in peers),
            startup_deadline=runtime.clock() + replica.STARTUP_S,
        ),
        reactor=runtime.reactor,
        clock=runtime.clock,
        counters=runtime.counters,
    )
    distribution = Distribution(
        configuration=configuration_task,
        follower=follower.Follower(
            reactor=runtime.reactor,
            links=runtime.links,
            hello=hello,
            clock=runtime.clock,
            running_clock=runtime.running_clock,
        ),
        relay=relay_task,
        reader=source_reader.SourceReader(
            reactor=runtime.reactor,
            fetcher=runtime.fetcher,
            randomness=runtime.randomness,
            clock=runtime.clock,
        ),
        membership=membership.Membership(
            local_peer=own_peer,
            seeds=seeds,
            randomness=runtime.randomness,
            reactor=runtime.reactor,
            clock=runtime.clock,
            can_discover=runtime.discovery is not None,
        ),
        discovery=_build_discovery(runtime),
        survey=survey.Survey(
            reactor=runtime.reactor,
            links=runtime.links,
            hello=hello,
            clock=runtime.clock,
            randomness=runtime.randomness,
        ),
        peers=peers,
    )
    _connect(distribution)
    return distribution


def _build_discovery(
    runtime: distribution_runtime.DistributionRuntime,
) -> discovery.Discovery | None:
    if runtime.discovery is None:
        return None
    return discovery.Discovery(
        reactor=runtime.reactor,
        source=runtime.discovery,
        randomness=runtime.randomness,
        clock=runtime.clock,
    )


def _connect(built: Distribution) -> None:
    built.follower.configuration = built.configuration
    built.follower.membership = built.membership
    built.relay.configuration = built.configuration
    built.relay.membership = built.membership
    built.reader.configuration = built.configuration
    built.reader.membership = built.membership
    built.membership.follower = built.follower
    built.membership.reader = built.reader
    built.membership.discovery = built.discovery
    if built.discovery is not None:
        built.discovery.membership = built.membership
    built.survey.configuration = built.configuration
    built.configuration.relay = built.relay
    built.configuration.rejection_subscribers = (built.survey,)
    # The relay forwards a change to the children before this node applies it.
    built.configuration.distribution = (
        built.follower,
        built.relay,
        built.reader,
        built.survey,
        built.membership,
    )
