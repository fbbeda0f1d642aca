"""Node of a simulated mesh."""

import random

from twisted.internet import task

from medlarquay import (
    events,
    ids,
    messages,
    replica,
    snapshots,
    telemetry,
    topology,
)
from medlarquay.daemon import distribution, distribution_runtime
from medlarquay.tasks import task as tasks
from medlarquay.testing import node_access

__all__ = ('SimulatedNode',)


class _Recorder(tasks.Task):
    """Records the snapshots in force and the latest confirmation."""

    def __init__(self) -> None:
        super().__init__(name='recorder')
        self.snapshots: list[events.SnapshotReplaced] = []
        self.confirmed_at = float('-inf')

    def receive(self, message: object) -> None:
        """Record one message."""
        if isinstance(message, events.SnapshotReplaced):
            self.snapshots.append(message)
        elif isinstance(message, events.FreshnessConfirmed):
            self.confirmed_at = message.confirmed_at


class SimulatedNode:
    """Node of a simulated mesh, with a separate clock.

    The clock of a paused node is stopped. It is advanced in one step when the
    node resumes, as for a suspended process.

    Parameters
    ----------
    peer : Peer
        Identity and address of the node.
    seeds : tuple of Peer
        Seed nodes from its settings.
    access : NodeAccess
        Opens links to other nodes, and reads the source.
    discovers : bool
        Whether it searches the source for a first parent.
    now : float
        Time at which the node starts, in seconds.
    randomness : random.Random
        Generator of phases and jitter.
    """

    def __init__(
        self,
        *,
        peer: topology.Peer,
        seeds: tuple[topology.Peer, ...],
        access: node_access.NodeAccess,
        now: float,
        discovers: bool,
        randomness: random.Random,
    ) -> None:
        self.peer = peer
        self.paused = False
        self.clock = task.Clock()
        self.clock.rightNow = now
        self.recorder = _Recorder()
        self.tasks = distribution.build_distribution(
            own_peer=peer,
            hello=messages.Hello(
                instance=peer.instance,
                incarnation=ids.Incarnation('simulated'),
                region=peer.region,
                data_centre=peer.data_centre,
            ),
            seeds=seeds,
            subscribers=(self.recorder,),
            freshness_subscribers=(self.recorder,),
            runtime=distribution_runtime.DistributionRuntime(
                reactor=self.clock,
                clock=self.clock.seconds,
                links=access,
                fetcher=access,
                discovery=access if discovers else None,
                randomness=randomness,
                counters=telemetry.Counters(),
            ),
        )

    @property
    def revision(self) -> int:
        """Tree revision in force; 0 if none."""
        current = self.snapshot
        return 0 if current is None else current.tree_revision

    @property
    def snapshot(self) -> snapshots.Snapshot | None:
        """Snapshot in force; None before the first."""
        if self.recorder.snapshots:
            return self.recorder.snapshots[-1].snapshot
        return None

    @property
    def vector(self) -> replica.VersionVector:
        """Version vector of the replica of the node."""
        return self.tasks.configuration.replica.vector

    @property
    def configuration_age_s(self) -> float:
        """Seconds since the source last confirmed the configuration."""
        return self.clock.seconds() - self.recorder.confirmed_at

    @property
    def entry(self) -> dict[str, object]:
        """Entry of the node in the instance list."""
        return {
            'instance': self.peer.instance,
            'region': self.peer.region,
            'data_centre': self.peer.data_centre,
            'host': self.peer.host,
            'peer_port': self.peer.port,
            'team': 'agency',
            'service': 'digest-portal',
            'caller_port': 1,
            'slots': 6,
            'state': 'live',
        }
