"""Tests for the lifecycle task, with a fake clock."""

import pytest
from twisted.internet import task as fake

from medlarquay import events, ids, settings, snapshots, states
from medlarquay.daemon import lifecycle
from medlarquay.tasks import task

_DOCUMENT = settings.parse_document(
    team=ids.TeamName('agency'),
    content=b'{}',
)


class _Reactor(fake.Clock):
    """Fake reactor that counts how often it is stopped."""

    def __init__(self) -> None:
        super().__init__()
        self.stops = 0

    def stop(self) -> None:
        """Count a stop."""
        self.stops += 1


class _Recorder(task.Task):
    """Task that records the messages posted to it."""

    def __init__(self) -> None:
        super().__init__(name='recorder')
        self.messages: list[object] = []

    def receive(self, message: object) -> None:
        """Record one message."""
        self.messages.append(message)


class _Node:
    """A lifecycle with its reactor, one part and one subscriber."""

    def __init__(self) -> None:
        self.reactor = _Reactor()
        self.part = _Recorder()
        self.observer = _Recorder()
        self.lifecycle_task = lifecycle.Lifecycle(
            reactor=self.reactor,
            clock=self.reactor.seconds,
            parts=(self.part,),
            subscribers=(self.observer,),
            drain_timeout_s=30,
        )

    @property
    def entered(self) -> list[states.NodeState]:
        """States that were announced."""
        return [message.state for message in self.observer.messages]


def _snapshot(*documents: settings.TeamDocument) -> snapshots.Snapshot:
    return snapshots.build_snapshot(
        documents=documents,
        instances=(),
        tree_revision=ids.Revision(1),
        list_revision=ids.Revision(1),
    )


@pytest.fixture
def node() -> _Node:
    """Return a node in the state *serving*."""
    serving = _Node()
    snapshot = _snapshot(_DOCUMENT)
    serving.lifecycle_task.post(events.SnapshotReplaced(snapshot=snapshot))
    serving.lifecycle_task.post(events.SnapshotReplaced(snapshot=snapshot))
    assert serving.entered == [states.NodeState.SERVING]
    return serving


def _finish(node: _Node, *parts: states.NodePart) -> None:
    for part in parts:
        node.lifecycle_task.post(events.WorkFinished(part=part))


def test_node_stops_when_all_parts_finished(node: _Node) -> None:
    """Guards against a stop that aborts requests in flight."""
    node.lifecycle_task.post(events.DrainRequested())
    assert node.part.messages == [events.DrainRequested(answer_by=29)]
    _finish(node, states.NodePart.OWNER, states.NodePart.OWNER)
    node.reactor.advance(10)
    assert node.reactor.stops == 0
    _finish(node, states.NodePart.ROUTER)
    # The answers just written must leave the socket buffers first.
    assert node.entered[-1] is states.NodeState.FLUSHING
    _finish(node, states.NodePart.CALLERS)
    node.reactor.advance(10)
    assert node.reactor.stops == 0
    _finish(node, states.NodePart.LINKS)
    # Requests that wait in the backlog are read before the reactor stops.
    assert node.reactor.stops == 0
    node.reactor.advance(0)
    assert node.reactor.stops == 1
    assert node.entered[1:] == [
        states.NodeState.DRAINING,
        states.NodeState.FLUSHING,
        states.NodeState.STOPPED,
    ]


def test_node_stops_at_the_drain_deadline(node: _Node) -> None:
    """Guards against a part that never finishes and keeps the process alive."""
    node.lifecycle_task.post(events.DrainRequested())
    node.reactor.advance(29)
    _finish(node, states.NodePart.ROUTER)
    assert node.reactor.stops == 0
    node.reactor.advance(1)
    assert node.reactor.stops == 1


def test_second_signal_does_not_shorten_or_prolong(node: _Node) -> None:
    """Guards against a repeated signal that aborts requests in flight."""
    node.lifecycle_task.post(events.DrainRequested())
    node.reactor.advance(20)
    node.lifecycle_task.post(events.DrainRequested())
    assert len(node.part.messages) == 1
    node.reactor.advance(9)
    assert node.reactor.stops == 0
    node.reactor.advance(1)
    assert node.reactor.stops == 1
    node.lifecycle_task.post(events.DrainRequested())
    assert node.reactor.stops == 1


def test_starting_node_can_be_drained() -> None:
    """Guards against a node without a configuration that ignores SIGTERM."""
    node = _Node()
    node.lifecycle_task.post(events.DrainRequested())
    _finish(node, *states.NodePart)
    node.reactor.advance(1)
    assert node.reactor.stops == 1


def test_finished_work_before_drain_is_ignored(node: _Node) -> None:
    """Guards against a drain that ends early.

    A part that was idle before the drain may have work again.
    """
    _finish(node, *states.NodePart)
    node.reactor.advance(100)
    assert node.reactor.stops == 0


def test_node_without_any_document_is_not_in_service(node: _Node) -> None:
    """Guards against a node that is ready and answers 404 to everything."""
    node.lifecycle_task.post(events.SnapshotReplaced(snapshot=_snapshot()))
    node.lifecycle_task.post(events.SnapshotReplaced(snapshot=_snapshot()))
    assert node.entered[1:] == [states.NodeState.STARTING]
    node.lifecycle_task.post(
        events.SnapshotReplaced(snapshot=_snapshot(_DOCUMENT))
    )
    assert node.entered[2:] == [states.NodeState.SERVING]
