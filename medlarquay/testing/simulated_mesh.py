"""Nodes, links and a source on simulated clocks."""

import collections
import functools
import json
import random
from collections.abc import Callable

from twisted.internet import task

from medlarquay import codec, errors, ids, messages, replica, topology
from medlarquay.tasks import link_watcher
from medlarquay.testing import memory_link, memory_source, simulated_node

__all__ = ('SimulatedMesh',)

_STEP_S = 0.05
_DELAY_S = 0.01

_Action = Callable[[], None]
# The addresses of both ends and what to call when the link is lost.
_Ends = tuple[str, str, list[_Action]]


class _NodeAccess:
    """Access of one node to the others and to the source."""

    def __init__(self, *, mesh: 'SimulatedMesh', peer: topology.Peer) -> None:
        self._mesh = mesh
        self._own = peer

    def open(
        self,
        target: topology.Peer,
        watcher: link_watcher.LinkWatcher,
    ) -> None:
        """Open a link."""
        self._mesh.connect(self._own, target, watcher)

    async def fetch(
        self,
        tree: replica.SourceTree,
        *,
        after: ids.Revision,
        wait_ms: int,
    ) -> bytes:
        """Read the source unless cut off from it."""
        mesh = self._mesh
        if mesh.is_partitioned_from_source(self._own.address):
            raise errors.SourceError('unreachable', step='read source')
        answer = await mesh.source.fetch(tree, after=after, wait_ms=wait_ms)
        if mesh.is_partitioned_from_source(self._own.address):
            raise errors.SourceError('unreachable', step='read source')
        return answer


class SimulatedMesh:
    """Nodes, links and a source on simulated clocks.

    Parameters
    ----------
    seed : int
        Seed of all random choices, so that runs repeat exactly.
    """

    def __init__(self, *, seed: int) -> None:
        self.clock = task.Clock()
        self.source = memory_source.MemorySource(clock=self.clock)
        #: Nodes that reach all other nodes but not the source.
        self.without_source: set[str] = set()
        #: Nodes that keep their links, but open no others.
        self.without_new_links: set[str] = set()
        self.nodes: dict[str, simulated_node.SimulatedNode] = {}
        self.region_crossings: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        #: Violations of the invariants, checked at each step.
        self.violations: list[str] = []
        self._randomness = random.Random(seed)
        self._served: dict[str, int] = {}
        self._partitioned: set[str] = set()
        self._links: dict[int, _Ends] = {}
        self._last_link = 0
        self._held_back: dict[str, list[_Action]] = {}

    def start(
        self,
        peer: topology.Peer,
        seeds: tuple[topology.Peer, ...],
    ) -> None:
        """Start or restart a node."""
        access = _NodeAccess(mesh=self, peer=peer)
        node = simulated_node.SimulatedNode(
            peer=peer,
            seeds=seeds,
            links=access,
            fetcher=access,
            now=self.clock.seconds(),
            randomness=random.Random(self._randomness.random()),
        )
        self.nodes[peer.address] = node
        node.tasks.start()

    def register(self, peer: topology.Peer) -> None:
        """Add a node to the instance list."""
        entry = self.nodes[peer.address].entry
        self.source.publish('instances', peer.instance, json.dumps(entry))

    def kill(self, address: str) -> None:
        """End a process: its links are reset."""
        self.nodes.pop(address)
        self._held_back.pop(address, None)
        for number, (one, other, _) in tuple(self._links.items()):
            if address in {one, other}:
                self._end(number)

    def pause(self, address: str) -> None:
        """Stop a process without ending it."""
        self.nodes[address].paused = True
        self._held_back[address] = []

    def resume(self, address: str) -> None:
        """Continue a process; what waited in its sockets arrives first."""
        node = self.nodes[address]
        node.paused = False
        node.clock.rightNow = self.clock.seconds()
        for deliver in self._held_back.pop(address):
            deliver()
        node.clock.advance(0)

    def partition(self, addresses: set[str]) -> None:
        """Partition some nodes from all others and from the source."""
        self._partitioned = addresses

    def is_partitioned(self, one: str, other: str) -> bool:
        """Return whether a partition separates two addresses."""
        return (one in self._partitioned) is not (other in self._partitioned)

    def is_partitioned_from_source(self, address: str) -> bool:
        """Return whether a node cannot reach the source."""
        return address in self._partitioned or address in self.without_source

    def advance(self, duration: float) -> None:
        """Let time pass and check the invariants at each step."""
        for _ in range(round(duration / _STEP_S)):
            self.clock.advance(_STEP_S)
            for node in tuple(self.nodes.values()):
                if not node.paused:
                    node.clock.advance(
                        self.clock.seconds() - node.clock.seconds(),
                    )
            self._check()

    def connect(
        self,
        initiator: topology.Peer,
        target: topology.Peer,
        watcher: link_watcher.LinkWatcher,
    ) -> None:
        """Open a link between two nodes."""
        self._last_link += 1
        number = self._last_link
        node = self.nodes.get(target.address)
        if node is None or initiator.address in self.without_new_links:
            self._later(initiator.address, watcher.closed)
            return
        relay = node.tasks.relay
        near = memory_link.MemoryLink(
            on_send=lambda frame: self._carry(
                number,
                target.address,
                functools.partial(relay.receive_frame, far, frame),
            ),
            on_close=functools.partial(self._end, number),
        )
        far = memory_link.MemoryLink(
            on_send=lambda frame: self._carry(
                number,
                initiator.address,
                functools.partial(
                    self._deliver, watcher, target, initiator, frame
                ),
            ),
            on_close=functools.partial(self._end, number),
        )
        self._links[number] = (
            initiator.address,
            target.address,
            [watcher.closed, functools.partial(relay.close_incoming, far)],
        )
        self._carry(
            number,
            target.address,
            functools.partial(relay.accept, far),
        )
        self._carry(
            number,
            initiator.address,
            functools.partial(watcher.opened, near),
        )

    def _deliver(
        self,
        watcher: link_watcher.LinkWatcher,
        sender: topology.Peer,
        receiver: topology.Peer,
        frame: bytes,
    ) -> None:
        message = codec.decode(frame, now=0, peer='simulated')
        changes = isinstance(message, messages.Records) and (
            message.delta.teams or message.delta.differences
        )
        if changes and sender.region != receiver.region:
            self.region_crossings[sender.region, receiver.region] += 1
        watcher.received(frame)

    def _carry(
        self,
        number: int,
        receiver: str,
        action: _Action,
    ) -> None:
        ends = self._links.get(number)
        if ends is None or self.is_partitioned(ends[0], ends[1]):
            return
        self._later(receiver, action)

    def _later(self, receiver: str, action: _Action) -> None:
        self.clock.callLater(_DELAY_S, self._run, receiver, action)

    def _run(self, receiver: str, action: _Action) -> None:
        node = self.nodes.get(receiver)
        if node is None:
            return
        if node.paused:
            self._held_back[receiver].append(action)
            return
        action()

    def _end(self, number: int) -> None:
        found = self._links.pop(number, None)
        if found is not None:
            one, other, closed = found
            self._later(one, closed[0])
            self._later(other, closed[1])

    def _check(self) -> None:
        for node in self.nodes.values():
            name = node.peer.instance
            if node.revision:
                if node.revision < self._served.get(name, 0):
                    self.violations.append(f'{name} went back')
                self._served[name] = node.revision
            if not _is_closed(node):
                self.violations.append(f'{name} has an open snapshot')


def _is_closed(node: simulated_node.SimulatedNode) -> bool:
    found = node.snapshot
    if found is None:
        return True
    known = {id(service) for service in found.services.values()}
    return all(
        id(route.service) in known
        for routes in found.routes.values()
        for route in routes
    )
