"""Tests of what operators see of a version that is not in force."""

import json

import pytest
from twisted.internet import task as fake

from medlarquay import admin, events, ids, messages, replica, telemetry
from medlarquay.admin.tests import test_pages
from medlarquay.tasks import configuration

_VALID = b'{"services": {"desk": {}}, "routes": []}'
_INVALID = b'{"services": {"desk": {"cap": 1}}, "routes": []}'
_REASON = 'services.desk.cap is 1: unknown field'


class _Node:
    """A configuration task with its admin task."""

    def __init__(self) -> None:
        clock = fake.Clock()
        counters = telemetry.Counters()
        self.admin = admin.Admin(
            node=admin.ObservedNode(
                hello=messages.Hello(
                    instance=ids.InstanceId('i1'),
                    incarnation=ids.Incarnation('f00d'),
                    region=ids.RegionName('palermo'),
                    data_centre=ids.DataCentreName('pa1'),
                ),
                counters=counters,
                records=telemetry.RecordLog(),
                clock=clock.seconds,
            ),
        )
        self._configuration = configuration.Configuration(
            subscribers=(self.admin,),
            freshness_subscribers=(),
            floor=replica.Floor(peers=(), startup_deadline=0),
            reactor=clock,
            clock=clock.seconds,
            counters=counters,
        )
        self._configuration.rejection_subscribers = (self.admin,)

    def read(self, revision: int, content: bytes) -> None:
        """Deliver one version of a document as the source answers it."""
        entry = replica.SourceValue(
            key='agency',
            revision=ids.Revision(revision),
            content=content,
        )
        self._configuration.post(
            events.DocumentsRead(
                tree=replica.SourceTree.TEAMS,
                after=ids.Revision(revision - 1),
                revision=ids.Revision(revision),
                entries=(entry,),
                requested_at=0,
                wire_bytes=len(content),
            ),
        )

    def show(self, page: str) -> str:
        """Return a page of the operators' port."""
        return test_pages.get_page(self.admin, page)[1].decode()


@pytest.fixture
def node() -> _Node:
    """Return a node with an accepted version and a newer rejected one."""
    reading = _Node()
    reading.read(1, _VALID)
    reading.read(2, _INVALID)
    return reading


def test_rejected_version_is_shown_with_its_reason(node: _Node) -> None:
    """Guards against a version not in force that only a log line tells of."""
    shown = json.loads(node.show('/rejected'))[0]
    assert _REASON in shown.pop('reason')
    assert shown == {'team': 'agency', 'revision': 2, 'revision_in_force': 1}
    assert json.loads(node.show('/version'))['documents_rejected'] == 1
    assert 'medlarquay_documents_rejected 1.0' in node.show('/metrics')


def test_accepted_version_ends_the_report(node: _Node) -> None:
    """Guards against an alert for a version that was corrected."""
    node.read(3, _VALID)
    assert json.loads(node.show('/rejected')) == []
    assert json.loads(node.show('/version'))['documents_rejected'] == 0
    assert 'medlarquay_documents_rejected 0.0' in node.show('/metrics')
