"""Tests of a backend server whose entry is missing."""

import json

from twisted.internet import task

from medlarquay import (
    errors,
    events,
    ids,
    replica,
    routing,
    settings,
    snapshots,
    states,
)
from medlarquay.ingress import routing_table
from medlarquay.tasks import local_listing
from medlarquay.tasks.tests import owner_bench

_NODE = ids.InstanceId('10.1.0.4')
_RUN = ids.InstanceId('run-1')
_TEAM = ids.TeamName('agency')
_SERVICE = ids.ServiceName('desk')
_ANSWER_S = 0.5


def _record(
    instance: str = _RUN,
    node: str = _NODE,
    state: states.InstanceState = states.InstanceState.LIVE,
) -> replica.InstanceRecord:
    return replica.InstanceRecord(
        instance=ids.InstanceId(instance),
        node=ids.InstanceId(node),
        revision=ids.Revision(1),
        team=_TEAM,
        service=_SERVICE,
        region=ids.RegionName('north'),
        data_centre=ids.DataCentreName('a'),
        host='127.0.0.1',
        caller_port=1,
        peer_port=2,
        slots=2,
        state=state,
    )


_OTHER = _record('run-2', '10.1.0.5')


def _snapshot(*records: replica.InstanceRecord) -> snapshots.Snapshot:
    document = settings.parse_document(
        team=_TEAM,
        content=json.dumps({'services': {_SERVICE: {}}, 'routes': []}).encode(),
    )
    return snapshots.build_snapshot(
        documents=[document],
        instances=list(records),
        tree_revision=ids.Revision(1),
        list_revision=ids.Revision(1),
    )


class _Bench:
    """A listing task with a source that answers after a while."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.router = owner_bench.Recorder(name='router')
        self.owner = owner_bench.Recorder(name='owner')
        self.reachable = True
        self.listed = False
        self.checks = 0
        self.listing = local_listing.LocalListing(
            node=_NODE,
            router=self.router,
            owner=self.owner,
            source=self,
            reactor=self.clock,
            clock=self.clock.seconds,
        )

    async def is_listed(self, instance: ids.InstanceId) -> bool:
        """Answer after a while, or fail."""
        assert instance == _RUN
        self.checks += 1
        await task.deferLater(self.clock, _ANSWER_S)
        if not self.reachable:
            raise errors.SourceError('no answer in time', step='read')
        return self.listed

    def replace(self, *records: replica.InstanceRecord) -> None:
        """Post a snapshot with these backend servers."""
        snapshot = _snapshot(*records)
        self.listing.post(events.SnapshotReplaced(snapshot=snapshot))

    def wait(self, seconds: float) -> None:
        """Advance the clock in small steps."""
        self.clock.pump([0.1] * round(seconds * 10))

    def kept(self) -> list[replica.InstanceRecord | None]:
        """Return the records that the router was told to use."""
        return [message.record for message in self.router.received]


def test_backend_server_of_a_node_that_is_cut_off_stays_in_use() -> None:
    """Guards against a machine given up because it was only silent.

    Its entry lapsed since its heartbeats did not reach the source.
    """
    bench = _Bench()
    bench.replace(_record(), _OTHER)
    bench.reachable = False
    bench.replace(_OTHER)
    assert not bench.kept()
    bench.wait(1)
    assert bench.kept() == [_record()]
    bench.wait(10)
    bench.reachable = True
    bench.listed = True
    bench.wait(2)
    assert bench.kept() == [_record()]
    bench.replace(_record(), _OTHER)
    assert bench.kept() == [_record(), None]
    checks = bench.checks
    bench.wait(10)
    assert bench.checks == checks
    assert not bench.owner.received


def test_backend_server_that_left_is_not_used() -> None:
    """Guards against new work for a backend server that leaves unannounced."""
    bench = _Bench()
    bench.replace(_record(), _OTHER)
    bench.replace(_OTHER)
    bench.wait(10)
    assert not bench.kept()
    assert bench.checks == 1
    removed = events.LocalBackendRemoved(instance=_RUN)
    assert bench.owner.received == [removed]


def test_backend_server_that_left_behind_a_partition_is_given_up() -> None:
    """Guards against work for a gone server after the partition heals."""
    bench = _Bench()
    bench.replace(_record(), _OTHER)
    bench.reachable = False
    bench.replace(_OTHER)
    bench.wait(5)
    bench.reachable = True
    bench.wait(2)
    assert bench.kept() == [_record(), None]
    assert bench.listing.state is states.ListingState.ABSENT


def test_leaving_backend_server_is_not_kept() -> None:
    """Guards against a drain that is undone by a partition."""
    bench = _Bench()
    bench.replace(_record(), _OTHER)
    bench.replace(_record(state=states.InstanceState.LEAVING), _OTHER)
    bench.reachable = False
    bench.replace(_OTHER)
    bench.wait(10)
    assert not bench.kept()
    assert not bench.checks


def test_late_answer_about_an_earlier_run_is_ignored() -> None:
    """Guards against the earlier run used in place of a new one."""
    bench = _Bench()
    bench.replace(_record(), _OTHER)
    bench.reachable = False
    bench.replace(_OTHER)
    bench.replace(_record('run-3'), _OTHER)
    bench.wait(10)
    assert not bench.kept()
    assert bench.listing.state is states.ListingState.LISTED


def test_kept_backend_server_is_a_candidate_of_its_service_only() -> None:
    """Guards against calls of another service at the kept server."""
    table = routing_table.RoutingTable(
        location=routing.Location(
            instance=_NODE,
            region=ids.RegionName('north'),
            data_centre=ids.DataCentreName('a'),
        ),
    )
    table.replace(_snapshot(_OTHER))
    service = table.snapshot.services[_TEAM, _SERVICE]
    assert len(table.candidates(service).live) == 1
    table.keep(_record())
    assert set(table.candidates(service).live) == {_RUN, 'run-2'}
    assert _RUN in table.instances()
    assert table.instances_at(_NODE) == (_RUN,)
    table.keep(None)
    assert set(table.candidates(service).live) == {'run-2'}
