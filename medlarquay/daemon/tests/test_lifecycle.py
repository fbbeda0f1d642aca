"""The lifecycle task on a fake clock."""

import pytest
from twisted.internet import task as fake

from medlarquay import events, ids, snapshots, states
from medlarquay.daemon import lifecycle
from medlarquay.tasks import task


class _Reactor(fake.Clock):
    """Fake clock that counts stops."""

    def __init__(self) -> None:
        super().__init__()
        self.stops = 0

    def stop(self) -> None:
        """Count a stop."""
        self.stops += 1


class _Recorder(task.Task):
    """Keeps the messages posted to it."""

    def __init__(self) -> None:
        super().__init__(name='recorder')
        self.messages: list[object] = []

    def receive(self, message: object) -> None:
        """Keep one message."""
        self.messages.append(message)


class _Node:
    """A lifecycle with its reactor, one part and one subscriber."""

    def __init__(self) -> None:
        self.reactor = _Reactor()
        self.part = _Recorder()
        self.observer = _Recorder()
        self.life = lifecycle.Lifecycle(
            reactor=self.reactor,
            clock=self.reactor.seconds,
            parts=(self.part,),
            subscribers=(self.observer,),
            drain_timeout_s=30,
        )

    @property
    def entered(self) -> list[states.NodeState]:
        """States announced."""
        return [message.state for message in self.observer.messages]


@pytest.fixture
def node() -> _Node:
    """Return a node that serves."""
    built = _Node()
    snapshot = snapshots.build_snapshot(
        documents=(),
        instances=(),
        tree_revision=ids.Revision(1),
        list_revision=ids.Revision(1),
    )
    built.life.post(events.SnapshotReplaced(snapshot=snapshot))
    built.life.post(events.SnapshotReplaced(snapshot=snapshot))
    assert built.entered == [states.NodeState.SERVING]
    return built


def _finish(node: _Node, *parts: states.NodePart) -> None:
    for part in parts:
        node.life.post(events.WorkFinished(part=part))


def test_node_stops_when_all_parts_finished(node: _Node) -> None:
    """Guards against a stop that aborts requests in flight."""
    node.life.post(events.DrainRequested())
    assert node.part.messages == [events.DrainRequested(answer_by=29)]
    _finish(node, states.NodePart.OWNER, states.NodePart.OWNER)
    node.reactor.advance(10)
    assert node.reactor.stops == 0
    _finish(node, states.NodePart.ROUTER)
    # Answers just written must leave the socket buffers first.
    assert node.entered[-1] is states.NodeState.FLUSHING
    _finish(node, states.NodePart.CALLERS)
    node.reactor.advance(10)
    assert node.reactor.stops == 0
    _finish(node, states.NodePart.LINKS)
    assert node.reactor.stops == 1
    assert node.entered[1:] == [
        states.NodeState.DRAINING,
        states.NodeState.FLUSHING,
        states.NodeState.STOPPED,
    ]


def test_node_stops_at_the_drain_deadline(node: _Node) -> None:
    """Guards against a part without an end keeping the process for ever."""
    node.life.post(events.DrainRequested())
    node.reactor.advance(29)
    _finish(node, states.NodePart.ROUTER)
    assert node.reactor.stops == 0
    node.reactor.advance(1)
    assert node.reactor.stops == 1


def test_second_signal_does_not_shorten_or_prolong(node: _Node) -> None:
    """Guards against an impatient operator aborting requests."""
    node.life.post(events.DrainRequested())
    node.reactor.advance(20)
    node.life.post(events.DrainRequested())
    assert len(node.part.messages) == 1
    node.reactor.advance(9)
    assert node.reactor.stops == 0
    node.reactor.advance(1)
    assert node.reactor.stops == 1
    node.life.post(events.DrainRequested())
    assert node.reactor.stops == 1


def test_starting_node_drains_too() -> None:
    """Guards against a node without a configuration ignoring SIGTERM."""
    node = _Node()
    node.life.post(events.DrainRequested())
    _finish(node, *states.NodePart)
    node.reactor.advance(1)
    assert node.reactor.stops == 1


def test_finished_work_before_a_drain_counts_for_nothing(node: _Node) -> None:
    """Guards against an idle moment taken for the end of a drain."""
    _finish(node, *states.NodePart)
    node.reactor.advance(100)
    assert node.reactor.stops == 0
