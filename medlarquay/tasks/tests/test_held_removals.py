"""Removals of instances while parts of the source are late."""

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
_DOCUMENTS_LATE_S = 6.0


class _Snapshots(task.Task):
    """Keeps the backend servers of the newest snapshot."""

    def __init__(self) -> None:
        super().__init__(name='snapshots')
        self.instances: set[str] = set()

    def receive(self, message: object) -> None:
        """Take a snapshot."""
        if isinstance(message, events.SnapshotReplaced):
            self.instances = set(message.snapshot.instances.by_instance)


class _Node:
    """A configuration whose source or parent the test plays."""

    def __init__(self) -> None:
        self.clock = twisted_task.Clock()
        self.clock.advance(100)
        self.snapshots = _Snapshots()
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
        """Let the source answer a read with one entry."""
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
        """Let the list say that the instance is gone."""
        self.read(replica.SourceTree.INSTANCES, 3, None)

    def confirm(self, *, list_ago: float) -> None:
        """Let a parent confirm what the node holds."""
        now = self.clock.seconds()
        self.configuration.post(
            events.FreshnessReceived(
                peer='parent',
                vector=self.configuration.replica.vector,
                asked_at=now,
                confirmed_at=now - _DOCUMENTS_LATE_S,
                list_confirmed_at=now - list_ago,
            ),
        )


def test_a_removal_does_not_wait_for_late_documents() -> None:
    """Guards against a request to a server that left three seconds ago.

    While a whole configuration was on its way the data looked as old as
    after an outage, and the removals of a release were held back for 2.2 s.
    """
    node = _Node()
    assert node.snapshots.instances
    node.clock.advance(_DOCUMENTS_LATE_S)
    node.confirm(list_ago=1)
    node.remove()
    assert not node.snapshots.instances


@pytest.mark.parametrize('confirmed', [True, False])
def test_a_removal_after_an_outage_of_the_list_waits(
    *,
    confirmed: bool,
) -> None:
    """Guards against services that are empty after an outage."""
    node = _Node()
    node.clock.advance(_DOCUMENTS_LATE_S)
    if confirmed:
        node.confirm(list_ago=_DOCUMENTS_LATE_S)
    node.remove()
    assert node.snapshots.instances
