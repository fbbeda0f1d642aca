"""Tests of the faults and the call counter of the source double."""

import json

import pytest
from twisted.internet import task

from medlarquay.testing import http_exchange, source


class _SourceBench:
    """Sends requests to a source double and collects its answers."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.source = source.Source(reactor=self.clock)
        self.answers = []
        self.resets = 0

    def ask(self, method: str, target: str, body: bytes = b'') -> None:
        """Send one request."""
        self.source.handle(
            http_exchange.HttpExchange(
                method=method,
                target=target,
                headers={},
                body=body,
                send=self.answers.append,
                reset=self._reset,
            ),
        )
        self.clock.advance(0)

    def last_body(self):
        """Return the body of the last answer."""
        return json.loads(self.answers[-1].partition(b'\r\n\r\n')[2])

    def _reset(self) -> None:
        self.resets += 1


@pytest.fixture
def bench() -> _SourceBench:
    """Return a source double with two revisions of one document."""
    source_bench = _SourceBench()
    source_bench.ask('PUT', '/publish/teams/agency', b'one')
    source_bench.ask('PUT', '/publish/teams/agency', b'two')
    return source_bench


def test_read_has_the_latest_value(bench) -> None:
    """Guards against answers with overwritten values."""
    bench.ask('GET', '/v1/watch/teams?after=0')
    assert bench.last_body() == {
        'revision': 2,
        'entries': [{'key': 'agency', 'revision': 2, 'value': 'two'}],
    }


def test_stale_replica_answers_an_older_revision(bench) -> None:
    """Guards against a stale replica that mixes values of two revisions."""
    bench.ask('PUT', '/-/faults', b'{"behind": 1}')
    bench.ask('GET', '/v1/watch/teams?after=0')
    assert bench.last_body()['revision'] == 1
    assert bench.last_body()['entries'][0]['value'] == 'one'


def test_watch_is_answered_after_a_change(bench) -> None:
    """Guards against a pending watch that misses a change."""
    bench.ask('GET', '/v1/watch/teams?after=2&wait_ms=1000')
    before = len(bench.answers)
    bench.ask('PUT', '/publish/teams/agency', b'three')
    assert len(bench.answers) == before + 2
    assert b'three' in bench.answers[before]


def test_watch_is_answered_after_its_timeout(bench) -> None:
    """Guards against a watch that is never answered without a change."""
    bench.ask('GET', '/v1/watch/teams?after=2&wait_ms=1000')
    bench.clock.advance(1)
    assert bench.last_body() == {'revision': 2, 'entries': []}


def test_down_resets_reads_and_pending_watches(bench) -> None:
    """Guards against an outage that pending watches do not notice."""
    bench.ask('GET', '/v1/watch/teams?after=2&wait_ms=1000')
    bench.ask('PUT', '/-/faults', b'{"down": true}')
    bench.ask('GET', '/v1/watch/teams?after=0')
    assert bench.resets == 2


def test_list_lag_delays_only_instances(bench) -> None:
    """Guards against a lag of the instance list that delays documents."""
    bench.ask('PUT', '/-/faults', b'{"list_lag_ms": 500}')
    bench.ask('PUT', '/publish/instances/one', b'{}')
    bench.ask('GET', '/v1/watch/instances?after=0')
    assert bench.last_body()['revision'] == 0
    bench.clock.advance(0.5)
    bench.ask('GET', '/v1/watch/instances?after=0')
    assert bench.last_body()['revision'] == 1


def test_pending_watch_counts_in_each_second(bench) -> None:
    """Guards against pending watches that the call rate does not count."""
    bench.ask('GET', '/v1/watch/teams?after=2&wait_ms=5000')
    bench.source.count_pending()
    bench.source.count_pending()
    assert bench.source.counter.total == 1
    assert sum(bench.source.counter.by_second.values()) == 3
