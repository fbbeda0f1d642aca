"""Tests of the delay of removals of instances after source outages."""

import json

import pytest
from twisted.internet import task as twisted_task

from medlarquay import events, ids, replica, telemetry
from medlarquay.tasks import configuration, task

_ENTRY = json.dumps({
    'instance': 'i-1',
    'node': '10.0.0.1',
    'team': 'operators',
    'service': 'desk',
    'region': 'north',
    'data_centre': 'north-a',
    'host': '10.0.0.1',
    'caller_port': 1,
    'peer_port': 2,
    'slots': 6,
    'state': 'live',
}).encode()
_DOCUMENT = b'{"services": {"desk": {}}, "routes": []}'
_OUTDATED_S = 6.0


class _SnapshotRecorder(task.Task):
    """Keeps the instances of the newest snapshot."""

    def __init__(self) -> None:
        super().__init__(name='snapshots')
        self.instances: set[str] = set()

    def receive(self, message: object) -> None:
        """Record the instances of a snapshot."""
        if isinstance(message, events.SnapshotReplaced):
            self.instances = set(message.snapshot.instances.by_instance)


class _Node:
    """A configuration task; the test acts as its source and its parent."""

    def __init__(self) -> None:
        self.clock = twisted_task.Clock()
        self.clock.advance(100)
        self.snapshots = _SnapshotRecorder()
        self.configuration = configuration.Configuration(
            subscribers=(self.snapshots,),
            freshness_subscribers=(),
            floor=replica.Floor(peers=(), startup_deadline=0),
            reactor=self.clock,
            clock=self.clock.seconds,
            counters=telemetry.Counters(),
        )
        self.read(replica.SourceTree.TEAMS, 1, _DOCUMENT, key='operators')
        self.read(replica.SourceTree.INSTANCES, 2, _ENTRY)

    def read(
        self,
        tree: replica.SourceTree,
        revision: int,
        content: bytes | None,
        *,
        key: str = 'i-1',
    ) -> None:
        """Deliver an answer of the source with one entry."""
        self.configuration.post(
            events.DocumentsRead(
                tree=tree,
                after=ids.Revision(0),
                revision=ids.Revision(revision),
                entries=(
                    replica.SourceValue(
                        key=key,
                        revision=ids.Revision(revision),
                        content=content,
                    ),
                ),
                asked_at=self.clock.seconds(),
            ),
        )

    def remove(self) -> None:
        """Deliver the removal of the instance from the instance list."""
        self.read(replica.SourceTree.INSTANCES, 3, None)

    def confirm(self, *, list_ago: float) -> None:
        """Deliver a confirmation of the version of the node by a parent."""
        now = self.clock.seconds()
        self.configuration.post(
            events.FreshnessReceived(
                peer='parent',
                vector=self.configuration.replica.vector,
                asked_at=now,
                confirmed_at=now - _OUTDATED_S,
                list_confirmed_at=now - list_ago,
            ),
        )


def test_removal_is_not_held_for_late_documents() -> None:
    """Guards against requests to a backend server that left three seconds ago.

    While a whole configuration was in transit, the age of the documents was
    taken for a source outage, and the removals of a release were held back
    for 2.2 s.
    """
    node = _Node()
    assert node.snapshots.instances
    node.clock.advance(_OUTDATED_S)
    node.confirm(list_ago=1)
    node.remove()
    assert not node.snapshots.instances


@pytest.mark.parametrize('confirmed', [True, False])
def test_removal_is_held_after_an_outage_of_the_list(
    *,
    confirmed: bool,
) -> None:
    """Guards against services without instances after a source outage.

    Entries that lapsed during the outage look like removals.
    """
    node = _Node()
    node.clock.advance(_OUTDATED_S)
    if confirmed:
        node.confirm(list_ago=_OUTDATED_S)
    node.remove()
    assert node.snapshots.instances
