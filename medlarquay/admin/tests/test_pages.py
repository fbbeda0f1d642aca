"""Admin pages, requested over an in-memory HTTP transport."""

import dataclasses
import json
from typing import Any

import pytest
from treq import testing as treq_testing
from twisted.internet import defer
from twisted.internet import task as fake

from medlarquay import (
    admin,
    events,
    ids,
    messages,
    replica,
    settings,
    snapshots,
    states,
    telemetry,
)
from medlarquay.admin import pages

_NOW = 100.0


@pytest.fixture
def task() -> admin.Admin:
    """Return a starting admin task with one count and one call record."""
    node = admin.ObservedNode(
        hello=messages.Hello(
            instance=ids.InstanceId('i1'),
            incarnation=ids.Incarnation('f00d'),
            region=ids.RegionName('palermo'),
            data_centre=ids.DataCentreName('pa1'),
        ),
        counters=telemetry.Counters(),
        records=telemetry.RecordLog(),
        clock=lambda: _NOW,
    )
    node.counters.increment(states.RefusalReason.SHED, amount=2)
    node.records.append(
        telemetry.CallRecord(
            recorded_at=1.5,
            side=states.RecordSide.INGRESS,
            team=ids.TeamName('agency'),
            service=ids.ServiceName('desk'),
            method=b'POST',
            target=b'/approve/\xff',
            request_key=ids.RequestKey('k'),
            outcome=states.Outcome.NOT_RUN,
            status=429,
            reason=states.RefusalReason.SHED,
        ),
    )
    return admin.Admin(node=node)


@pytest.fixture
def serving(task: admin.Admin) -> admin.Admin:
    """Return the task with a configuration, after the node began to serve."""
    tree = {
        'services': {'desk': {}, 'empty': {}},
        'routes': [
            {'host': 'x.agency', 'path_prefix': '/a', 'service': 'desk'},
            {'host': 'x.agency', 'path_prefix': '/e', 'service': 'empty'},
        ],
    }
    record = replica.InstanceRecord(
        instance=ids.InstanceId('i1'),
        revision=ids.Revision(3),
        team=ids.TeamName('agency'),
        service=ids.ServiceName('desk'),
        region=ids.RegionName('palermo'),
        data_centre=ids.DataCentreName('pa1'),
        host='127.0.0.1',
        caller_port=1,
        peer_port=2,
        slots=6,
        state=states.InstanceState.LIVE,
    )
    document = settings.parse_document(
        team=ids.TeamName('agency'), content=json.dumps(tree).encode()
    )
    current = snapshots.build_snapshot(
        documents=[document],
        instances=[record],
        tree_revision=ids.Revision(7),
        list_revision=ids.Revision(3),
    )
    task.post(events.SnapshotReplaced(snapshot=current))
    task.post(events.FreshnessConfirmed(confirmed_at=_NOW - 0.25))
    task.post(events.LifecycleChanged(state=states.NodeState.SERVING))
    return task


def get_page(task: admin.Admin, path: str) -> tuple[int, bytes]:
    """Return status and content of a page, over an in-memory transport."""
    clock = fake.Clock()
    operator_pages = pages.Pages(node=task.node, reactor=clock)
    stub = treq_testing.StubTreq(operator_pages.app.resource())

    async def fetch() -> tuple[int, bytes]:
        response = await stub.get(f'http://node{path}')
        return response.code, await stub.content(response)

    responses: list[Any] = []
    fetching = defer.ensureDeferred(fetch())
    fetching.addBoth(responses.append)
    while not responses:
        clock.advance(0)
        stub.flush()
    return responses[0]


def test_starting_node_is_healthy_but_not_ready(task: admin.Admin) -> None:
    """Guards against calls sent to a node that would refuse all of them."""
    assert get_page(task, '/health')[0] == 200
    status, content = get_page(task, '/ready')
    assert status == 503
    assert json.loads(content) == {'ready': False, 'state': 'starting'}


def test_draining_node_is_not_ready(serving: admin.Admin) -> None:
    """Guards against calls sent to a node that is shutting down."""
    assert get_page(serving, '/ready')[0] == 200
    serving.post(events.LifecycleChanged(state=states.NodeState.DRAINING))
    assert get_page(serving, '/ready')[0] == 503


def test_version_shows_revisions_and_age(serving: admin.Admin) -> None:
    """Guards against stale configuration that the page does not reveal."""
    version = json.loads(get_page(serving, '/version')[1])
    assert version['tree_revision'] == 7
    assert version['list_revision'] == 3
    assert version['confirmed_ms_ago'] == 250


def test_routes_and_members_show_active_snapshot(serving: admin.Admin) -> None:
    """Guards against pages that show another than the active snapshot."""
    routes = json.loads(get_page(serving, '/routes')[1])
    assert [(route['path_prefix'], route['live']) for route in routes] == [
        ('/a', 1),
        ('/e', 0),
    ]
    members = json.loads(get_page(serving, '/members')[1])
    assert [member['instance'] for member in members] == ['i1']


@pytest.mark.parametrize('count', [0, 1, 8, 17])
def test_chunked_page_has_all_entries(task: admin.Admin, count: int) -> None:
    """Guards against an entry lost at the boundary of two chunks."""
    record = next(iter(task.node.records))
    task.node.records = telemetry.RecordLog()
    for number in range(count):
        task.node.records.append(
            dataclasses.replace(record, status=number),
        )
    entries = json.loads(get_page(task, '/records')[1])
    assert [entry['status'] for entry in entries] == list(range(count))


def test_counters_and_records_show_reasons(serving: admin.Admin) -> None:
    """Guards against a refusal missing from counters, records or metrics."""
    assert json.loads(get_page(serving, '/counters')[1]) == [
        {'counter': 'RefusalReason', 'reason': 'shed', 'count': 2},
    ]
    records = json.loads(get_page(serving, '/records')[1])
    assert records[0]['target'] == r'/approve/\xff'
    assert (records[0]['outcome'], records[0]['reason']) == ('not-run', 'shed')
    metrics = get_page(serving, '/metrics')[1].decode()
    assert 'medlarquay_refusals_total{reason="shed"} 2.0' in metrics


@pytest.mark.parametrize(
    ('target', 'refusal', 'service'),
    [
        ('/a/1', None, 'desk'),
        ('/e', 'no_backend', 'empty'),
        ('/ab', 'no_route', None),
    ],
)
def test_explain_agrees_with_routing(
    serving: admin.Admin,
    target: str,
    refusal: str | None,
    service: str | None,
) -> None:
    """Guards against an explanation other than what a real call would get."""
    path = f'/explain?host=x.agency:80&target={target}&method=POST'
    explained = json.loads(get_page(serving, path)[1])
    assert (explained['refusal'], explained['service']) == (refusal, service)
