"""The task that chooses the parent."""

import dataclasses
import functools
import random
from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import events, states, topology
from medlarquay.tasks import alarm, task

__all__ = ('Membership',)


class Membership(task.Task):
    """Joins the lagging list with what the node sees; chooses the parent.

    Parameters
    ----------
    local_peer : Peer
        This node.
    seeds : tuple of Peer
        Addresses from the settings.
    randomness : random.Random
        Spreads deadlines.
    reactor : IReactorTime
        Schedules the end of suspicions.
    clock : callable
        Returns seconds on the monotonic clock.
    """

    def __init__(
        self,
        *,
        local_peer: topology.Peer,
        seeds: tuple[topology.Peer, ...],
        randomness: random.Random,
        reactor: interfaces.IReactorTime,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(name='membership')
        self.follower: task.Task | None = None
        self.reader: task.Task | None = None
        self.situation = topology.TopologyState(
            local_peer=local_peer,
            seeds=seeds,
            members=topology.Members(()),
            suspects=frozenset(),
        )
        self._suspects = topology.Suspects(randomness=randomness)
        self._clock = clock
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)
        self._chosen: topology.UpstreamChoice | None = None

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def start(self) -> None:
        """Choose for the first time."""
        self.learn(self.situation)

    def suspect(self, message: events.ParentLost) -> None:
        """Do not follow a parent for some time."""
        deadline = self._suspects.mark(
            message.parent.address,
            now=self._clock(),
        )
        self._alarm.wake_at(deadline)
        known = self.situation
        if known.parent == message.parent:
            known = dataclasses.replace(known, parent=None, parent_stale=False)
        # The choice is announced again even if it is the same peer.
        self._chosen = None
        self.learn(known)

    def take_parent(self, parent: topology.Peer) -> None:
        """Follow a new parent; suspect the previous one if it was stale."""
        known = self.situation
        if known.parent_stale and known.parent is not None:
            self._suspects.mark(known.parent.address, now=self._clock())
        self.learn(
            dataclasses.replace(known, parent=parent, parent_stale=False),
        )

    def learn(self, known: topology.TopologyState) -> None:
        """Choose again with what is known now."""
        now = self._clock()
        self.situation = dataclasses.replace(
            known,
            suspects=self._suspects.current(now=now),
        )
        choice = topology.choose_upstream(self.situation)
        self.situation = dataclasses.replace(
            self.situation,
            backup_reader=choice.mode is states.ReadingMode.READER
            and bool(
                self.situation.members.preceding_in_region(
                    self.situation.local_peer,
                ),
            ),
        )
        if choice != self._chosen:
            self._chosen = choice
            self._announce(choice)
        deadline = self._suspects.next_deadline(now=now)
        if deadline is not None:
            self._alarm.wake_at(deadline)

    def _announce(self, choice: topology.UpstreamChoice) -> None:
        if choice.parent is None:
            self.situation = dataclasses.replace(self.situation, parent=None)
        if self.follower is not None:
            self.follower.post(
                events.ParentChosen(
                    parent=choice.parent,
                    must_be_fresh=choice.must_be_fresh,
                ),
            )
        if self.reader is not None:
            self.reader.post(events.ReadingChosen(mode=choice.mode))


@functools.singledispatch
def _handle(message: object, membership: Membership) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _tick(message: events.Tick, membership: Membership) -> None:
    membership.learn(membership.situation)


@_handle.register
def _changed(message: events.ReplicaChanged, membership: Membership) -> None:
    if message.instances is not None:
        members = topology.Members(message.instances)
        membership.learn(
            dataclasses.replace(membership.situation, members=members),
        )


@_handle.register
def _answered(message: events.ParentAnswered, membership: Membership) -> None:
    membership.take_parent(message.parent)


@_handle.register
def _aged(message: events.ParentAged, membership: Membership) -> None:
    if message.parent == membership.situation.parent:
        membership.learn(
            dataclasses.replace(
                membership.situation,
                parent_stale=message.stale,
            ),
        )


@_handle.register
def _lost(message: events.ParentLost, membership: Membership) -> None:
    membership.suspect(message)


@_handle.register
def _source(message: events.SourceChanged, membership: Membership) -> None:
    membership.learn(
        dataclasses.replace(
            membership.situation,
            source_reachable=message.reachable,
        ),
    )


@_handle.register
def _children(
    message: events.ChildrenChanged,
    membership: Membership,
) -> None:
    membership.learn(
        dataclasses.replace(membership.situation, child_count=message.count),
    )
