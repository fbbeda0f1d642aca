"""Nodes, links and a source on simulated clocks."""

import collections
import functools
import json
import random
from collections.abc import Callable

from twisted.internet import defer, task

from medlarquay import codec, errors, ids, messages, replica, topology
from medlarquay.tasks import connector, link_callbacks
from medlarquay.testing import memory_link, memory_source, simulated_node

__all__ = ('SimulatedMesh',)

_STEP_S = 0.05
_DELAY_S = 0.01
# A client of the source gives a read up this long after its wait, in seconds.
_READ_TIMEOUT_S = 1.0
_MS_PER_SECOND = 1000

_Action = Callable[[], None]
# Addresses of both endpoints, and their callbacks for the loss of the link.
_Ends = tuple[str, str, list[_Action]]


class _NodeAccess:
    """Connector and source fetcher of one node."""

    def __init__(self, *, mesh: 'SimulatedMesh', peer: topology.Peer) -> None:
        self._mesh = mesh
        self._peer = peer

    def open(
        self,
        target: topology.Peer,
        callbacks: link_callbacks.LinkCallbacks,
    ) -> None:
        """Open a link to another node."""
        self._mesh.connect(self._peer, target, callbacks)

    async def fetch(
        self,
        tree: replica.SourceTree,
        *,
        after: ids.Revision,
        wait_ms: int,
    ) -> bytes:
        """Read the source.

        Raises
        ------
        SourceError
            If the node is partitioned from the source, gets no answer from
            it, or the source is down.
        """
        mesh = self._mesh
        give_up_at = (
            mesh.clock.seconds() + wait_ms / _MS_PER_SECOND + _READ_TIMEOUT_S
        )
        if mesh.is_partitioned_from_source(self._peer.address):
            raise errors.SourceError('unreachable', step='read source')
        answer = await mesh.source.fetch(tree, after=after, wait_ms=wait_ms)
        if self._peer.address in mesh.without_answers:
            await self._sleep_until(give_up_at)
            raise errors.SourceError('no answer in time', step='read source')
        if mesh.is_partitioned_from_source(self._peer.address):
            raise errors.SourceError('unreachable', step='read source')
        return answer

    async def discover(self) -> bytes:
        """Read a part of the instance list.

        Raises
        ------
        SourceError
            As in ``fetch``.
        """
        mesh = self._mesh
        mesh.discoveries += 1
        if mesh.is_partitioned_from_source(self._peer.address):
            raise errors.SourceError('unreachable', step='read source')
        return mesh.source.read_page(mesh.page_entries)

    async def _sleep_until(self, deadline: float) -> None:
        clock = self._mesh.clock
        elapsed: defer.Deferred[None] = defer.Deferred()
        left = max(0, deadline - clock.seconds())
        clock.callLater(left, elapsed.callback, None)
        await elapsed


class SimulatedMesh:
    """Nodes, links and a source on simulated clocks.

    Parameters
    ----------
    seed : int
        Seed of all random choices; makes runs repeatable.
    page_entries : int
        Number of entries of the instance list that a node without seeds
        finds with one read; 0 if it cannot search for others.
    """

    def __init__(self, *, seed: int, page_entries: int = 0) -> None:
        self.page_entries = page_entries
        #: Number of reads by nodes that searched for others.
        self.discoveries = 0
        self.clock = task.Clock()
        self.source = memory_source.MemorySource(clock=self.clock)
        #: Addresses of nodes that reach all other nodes but not the source.
        self.without_source: set[str] = set()
        #: Addresses of nodes that keep their links but cannot open new ones.
        self.without_new_links: set[str] = set()
        #: Addresses of nodes whose reads the source does not answer.
        self.without_answers: set[str] = set()
        #: Addresses of nodes that send and receive nothing, without a reset of
        #: their links, as when their machines lose power.
        self.without_power: set[str] = set()
        self.nodes: dict[str, simulated_node.SimulatedNode] = {}
        #: Number of frames with changes that arrived from another region, by
        #: sending and receiving region.
        self.region_crossings: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        #: Descriptions of violated invariants, which are checked at each step.
        self.violations: list[str] = []
        self._randomness = random.Random(seed)
        self._last_revisions: dict[str, int] = {}
        self._partitioned: set[str] = set()
        self._open_links: dict[int, _Ends] = {}
        self._last_link = 0
        self._paused_actions: dict[str, list[_Action]] = {}

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
            access=access,
            discovers=bool(self.page_entries),
            now=self.clock.seconds(),
            randomness=random.Random(self._randomness.random()),
        )
        self.nodes[peer.address] = node
        node.tasks.start()

    def register(self, peer: topology.Peer) -> None:
        """Publish the entry of a node in the instance list."""
        entry = self.nodes[peer.address].entry
        self.source.publish('instances', peer.instance, json.dumps(entry))

    def kill(self, address: str) -> None:
        """Remove a node and reset its links, as when its process is killed."""
        self.nodes.pop(address)
        self._paused_actions.pop(address, None)
        for number, (first, second, _) in tuple(self._open_links.items()):
            if address in {first, second}:
                self._close_link(number)

    def pause(self, address: str) -> None:
        """Stop the clock of a node, as when its process is suspended."""
        self.nodes[address].paused = True
        self._paused_actions[address] = []

    def resume(self, address: str) -> None:
        """Resume a paused node.

        Frames that arrived while it was paused are delivered before its
        timers run, as from socket buffers.
        """
        node = self.nodes[address]
        node.paused = False
        node.clock.rightNow = self.clock.seconds()
        for deliver in self._paused_actions.pop(address):
            deliver()
        node.clock.advance(0)

    def partition(self, addresses: set[str]) -> None:
        """Partition nodes from all others and from the source."""
        self._partitioned = addresses

    def is_partitioned(self, first: str, second: str) -> bool:
        """Return whether the partition separates two addresses."""
        if self.without_power & {first, second}:
            return True
        return (first in self._partitioned) is not (second in self._partitioned)

    def is_partitioned_from_source(self, address: str) -> bool:
        """Return whether a node cannot reach the source."""
        cut_off = self._partitioned | self.without_source | self.without_power
        return address in cut_off

    def advance(self, duration: float) -> None:
        """Advance all clocks and check the invariants at each step."""
        for _ in range(round(duration / _STEP_S)):
            self.clock.advance(_STEP_S)
            for node in tuple(self.nodes.values()):
                if not node.paused:
                    node.clock.advance(
                        self.clock.seconds() - node.clock.seconds(),
                    )
            self._check_invariants()

    def connect(
        self,
        initiator: topology.Peer,
        target: topology.Peer,
        callbacks: link_callbacks.LinkCallbacks,
    ) -> None:
        """Open a link between two nodes."""
        self._last_link += 1
        number = self._last_link
        node = self.nodes.get(target.address)
        if node is None or initiator.address in self.without_new_links:
            self._schedule(initiator.address, callbacks.closed)
            return
        if self.is_partitioned(initiator.address, target.address):
            self.clock.callLater(
                connector.CONNECT_TIMEOUT_S,
                self._run,
                initiator.address,
                callbacks.closed,
            )
            return
        relay = node.tasks.relay
        near_end = memory_link.MemoryLink(
            on_send=lambda frame: self._send(
                number,
                target.address,
                functools.partial(relay.receive_frame, far_end, frame),
            ),
            on_close=functools.partial(self._close_link, number),
        )
        far_end = memory_link.MemoryLink(
            on_send=lambda frame: self._send(
                number,
                initiator.address,
                functools.partial(
                    self._deliver, callbacks, target, initiator, frame
                ),
            ),
            on_close=functools.partial(self._close_link, number),
        )
        self._open_links[number] = (
            initiator.address,
            target.address,
            [
                callbacks.closed,
                functools.partial(relay.remove_incoming, far_end),
            ],
        )
        # A paused node accepts the link and answers when it resumes.
        self._send(
            number,
            target.address,
            functools.partial(relay.accept, far_end),
        )
        self._send(
            number,
            target.address,
            functools.partial(
                self._send,
                number,
                initiator.address,
                functools.partial(callbacks.opened, near_end),
            ),
        )

    def _deliver(
        self,
        callbacks: link_callbacks.LinkCallbacks,
        sender: topology.Peer,
        receiver: topology.Peer,
        frame: bytes,
    ) -> None:
        message = codec.decode(frame, now=0, peer='simulated')
        has_changes = isinstance(message, messages.Records) and (
            message.delta.teams or message.delta.differences
        )
        if has_changes and sender.region != receiver.region:
            self.region_crossings[sender.region, receiver.region] += 1
        callbacks.received(frame)

    def _send(
        self,
        number: int,
        receiver: str,
        action: _Action,
    ) -> None:
        ends = self._open_links.get(number)
        if ends is None or self.is_partitioned(ends[0], ends[1]):
            return
        self._schedule(receiver, action)

    def _schedule(self, receiver: str, action: _Action) -> None:
        self.clock.callLater(_DELAY_S, self._run, receiver, action)

    def _run(self, receiver: str, action: _Action) -> None:
        node = self.nodes.get(receiver)
        if node is None:
            return
        if node.paused:
            self._paused_actions[receiver].append(action)
            return
        action()

    def _close_link(self, number: int) -> None:
        link_ends = self._open_links.pop(number, None)
        if link_ends is not None:
            first, second, on_closed = link_ends
            self._schedule(first, on_closed[0])
            self._schedule(second, on_closed[1])

    def _check_invariants(self) -> None:
        for node in self.nodes.values():
            name = node.peer.instance
            if node.revision:
                if node.revision < self._last_revisions.get(name, 0):
                    self.violations.append(f'{name}: tree revision decreased')
                self._last_revisions[name] = node.revision
            if not _routes_resolve(node):
                self.violations.append(
                    f'{name}: route to a service outside its snapshot'
                )


def _routes_resolve(node: simulated_node.SimulatedNode) -> bool:
    snapshot = node.snapshot
    if snapshot is None:
        return True
    service_ids = {id(service) for service in snapshot.services.values()}
    return all(
        id(route.service) in service_ids
        for routes in snapshot.routes.values()
        for route in routes
    )
