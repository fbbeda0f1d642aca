"""Task that chooses the parent of this node."""

import dataclasses
import functools
import math
import random
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import events, replica, states, topology
from medlarquay.tasks import alarm, task

__all__ = ('Membership',)

# A node waits this long for a discovered node that it can follow, and up to as
# long again at random, so that not all nodes read the source at the same time.
_DISCOVERY_S = 2
_FIRST_RETRY_S = 0.1
_LONGEST_RETRY_S = 0.5
# Without any instance in the list, nobody can be followed.
_MAX_EMPTY_DISCOVERIES = 3


class Membership(task.Task):
    """Chooses the parent of this node, and whether it reads the source.

    Combines the instance list, which lags, with the state of the links that
    this node observes.

    Parameters
    ----------
    local_peer : Peer
        This node.
    seeds : tuple of Peer
        Addresses from the settings, possibly including that of this node.
    randomness : random.Random
        Source of the jitter of suspicion timeouts.
    reactor : IReactorTime
        Schedules the suspicion timeouts.
    clock : callable
        Returns seconds on the monotonic clock.
    can_discover : bool
        Whether a discovery task finds the first parent.
    """

    def __init__(
        self,
        *,
        local_peer: topology.Peer,
        seeds: tuple[topology.Peer, ...],
        randomness: random.Random,
        reactor: interfaces.IReactorTime,
        clock: Callable[[], float],
        can_discover: bool = False,
    ) -> None:
        super().__init__(name='membership')
        self.follower: task.Task | None = None
        self.reader: task.Task | None = None
        self.discovery: task.Task | None = None
        self.state = topology.TopologyState(
            local_peer=local_peer,
            seeds=seeds,
            members=topology.Members(()),
            suspects=frozenset(),
            can_discover=can_discover,
        )
        self._suspects = topology.Suspects(randomness=randomness)
        # A first parent that refuses is most likely still starting.
        self._start_suspects = topology.Suspects(
            randomness=randomness,
            first_s=_FIRST_RETRY_S,
            longest_s=_LONGEST_RETRY_S,
        )
        self._randomness = randomness
        self._discover_until = math.inf
        self._empty_discoveries = 0
        self._clock = clock
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)
        self._chosen: topology.UpstreamChoice | None = None

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def start(self) -> None:
        """Make the first choice."""
        self.update(self.state)

    def suspect_parent(self, message: events.ParentLost) -> None:
        """Exclude a lost parent from the choice for some time."""
        deadline = self._current_suspects.mark(
            message.parent.address,
            now=self._clock(),
        )
        self._alarm.wake_at(deadline)
        state = self.state
        if state.parent == message.parent:
            state = dataclasses.replace(state, parent=None, parent_stale=False)
        elif message.reason is states.ParentFault.SILENT:
            state = dataclasses.replace(
                state, silent_candidates=state.silent_candidates + 1
            )
        # The choice is announced again even if it is the same peer, because the
        # follower has closed the link.
        self._chosen = None
        self.update(state)

    def set_parent(self, parent: topology.Peer) -> None:
        """Record a new parent; suspect the previous one if it was stale."""
        state = self.state
        if state.parent_stale and state.parent is not None:
            self._current_suspects.mark(state.parent.address, now=self._clock())
        self.update(
            dataclasses.replace(
                state, parent=parent, parent_stale=False, silent_candidates=0
            ),
        )

    def update(self, state: topology.TopologyState) -> None:
        """Choose again, based on a new state."""
        now = self._clock()
        self.state = dataclasses.replace(
            state,
            suspects=self._current_suspects.current(now=now),
            discovery_over=self._is_discovery_over(now),
        )
        choice = topology.choose_upstream(self.state)
        self.state = dataclasses.replace(
            self.state,
            backup_reader=choice.mode is states.ReadingMode.READER
            and bool(
                self.state.members.preceding_in_region(
                    self.state.local_peer,
                ),
            ),
        )
        if choice != self._chosen:
            self._chosen = choice
            self._announce(choice)
        deadline = self._current_suspects.next_deadline(now=now)
        if deadline is not None:
            self._alarm.wake_at(deadline)

    def discover(self, instances: tuple[replica.InstanceRecord, ...]) -> None:
        """Choose a first parent among the nodes of discovered instances."""
        if self.state.members:
            return
        now = self._clock()
        if not instances:
            self._empty_discoveries += 1
        elif math.isinf(self._discover_until):
            jitter_s = self._randomness.uniform(0, _DISCOVERY_S)
            self._discover_until = now + _DISCOVERY_S + jitter_s
            self._alarm.wake_at(self._discover_until)
        self.update(
            dataclasses.replace(
                self.state, discovered=topology.Members(instances)
            ),
        )

    @property
    def _current_suspects(self) -> topology.Suspects:
        return self._suspects if self.state.members else self._start_suspects

    def _is_discovery_over(self, now: float) -> bool:
        return (
            now >= self._discover_until
            or self._empty_discoveries >= _MAX_EMPTY_DISCOVERIES
        )

    def _announce(self, choice: topology.UpstreamChoice) -> None:
        if choice.parent is None:
            self.state = dataclasses.replace(self.state, parent=None)
        if self.follower is not None:
            self.follower.post(
                events.ParentChosen(
                    parent=choice.parent,
                    must_be_fresh=choice.must_be_fresh,
                    parent_reads_source=choice.parent_reads_source,
                ),
            )
        for reader in (self.reader, self.discovery):
            if reader is not None:
                reader.post(events.ReadingChosen(mode=choice.mode))


@functools.singledispatch
def _handle(message: object, membership: Membership) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _tick(message: events.Tick, membership: Membership) -> None:
    membership.update(membership.state)


@_handle.register
def _discovered(
    message: events.PeersDiscovered, membership: Membership
) -> None:
    membership.discover(message.instances)


@_handle.register
def _changed(message: events.ReplicaChanged, membership: Membership) -> None:
    if message.instances is not None:
        members = topology.Members(message.instances)
        membership.update(
            dataclasses.replace(membership.state, members=members),
        )


@_handle.register
def _answered(message: events.ParentAnswered, membership: Membership) -> None:
    membership.set_parent(message.parent)


@_handle.register
def _aged(message: events.ParentAged, membership: Membership) -> None:
    if message.parent == membership.state.parent:
        state = dataclasses.replace(
            membership.state, parent_stale=message.stale
        )
        if not message.stale:
            state = dataclasses.replace(state, silent_candidates=0)
        membership.update(state)


@_handle.register
def _lost(message: events.ParentLost, membership: Membership) -> None:
    membership.suspect_parent(message)


@_handle.register
def _source(message: events.SourceChanged, membership: Membership) -> None:
    membership.update(
        dataclasses.replace(
            membership.state,
            source_reachable=message.reachable,
        ),
    )


@_handle.register
def _children(
    message: events.ChildrenChanged,
    membership: Membership,
) -> None:
    membership.update(
        dataclasses.replace(membership.state, child_count=message.count),
    )
