"""Faults and call counter of the source double."""

import json

import pytest
from twisted.internet import task

from medlarquay.testing import http_exchange, source


class _Answers:
    """Collects what the source answers."""

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

    def last(self):
        """Return the body of the last answer."""
        return json.loads(self.answers[-1].partition(b'\r\n\r\n')[2])

    def _reset(self) -> None:
        self.resets += 1


@pytest.fixture
def answers() -> _Answers:
    """Return a source with two revisions of one document."""
    found = _Answers()
    found.ask('PUT', '/publish/teams/agency', b'one')
    found.ask('PUT', '/publish/teams/agency', b'two')
    return found


def test_read_has_the_latest_value(answers) -> None:
    """Guards against a reader that is given an overwritten value."""
    answers.ask('GET', '/v1/watch/teams?after=0')
    assert answers.last() == {
        'revision': 2,
        'entries': [{'key': 'agency', 'revision': 2, 'value': 'two'}],
    }


def test_stale_replica_answers_an_older_revision(answers) -> None:
    """Guards against a stale replica that mixes old and new values."""
    answers.ask('PUT', '/-/faults', b'{"behind": 1}')
    answers.ask('GET', '/v1/watch/teams?after=0')
    assert answers.last()['revision'] == 1
    assert answers.last()['entries'][0]['value'] == 'one'


def test_watch_ends_with_a_change(answers) -> None:
    """Guards against a watch that misses a change."""
    answers.ask('GET', '/v1/watch/teams?after=2&wait_ms=1000')
    before = len(answers.answers)
    answers.ask('PUT', '/publish/teams/agency', b'three')
    assert len(answers.answers) == before + 2
    assert b'three' in answers.answers[before]


def test_watch_ends_with_its_time(answers) -> None:
    """Guards against a watch that holds its reader for ever."""
    answers.ask('GET', '/v1/watch/teams?after=2&wait_ms=1000')
    answers.clock.advance(1)
    assert answers.last() == {'revision': 2, 'entries': []}


def test_down_resets_reads_and_pending_watches(answers) -> None:
    """Guards against an outage that readers do not notice."""
    answers.ask('GET', '/v1/watch/teams?after=2&wait_ms=1000')
    answers.ask('PUT', '/-/faults', b'{"down": true}')
    answers.ask('GET', '/v1/watch/teams?after=0')
    assert answers.resets == 2


def test_list_lag_delays_only_instances(answers) -> None:
    """Guards against a lag that also delays settings."""
    answers.ask('PUT', '/-/faults', b'{"list_lag_ms": 500}')
    answers.ask('PUT', '/publish/instances/one', b'{}')
    answers.ask('GET', '/v1/watch/instances?after=0')
    assert answers.last()['revision'] == 0
    answers.clock.advance(0.5)
    answers.ask('GET', '/v1/watch/instances?after=0')
    assert answers.last()['revision'] == 1


def test_pending_watch_counts_in_each_second(answers) -> None:
    """Guards against a source limit that watches evade."""
    answers.ask('GET', '/v1/watch/teams?after=2&wait_ms=5000')
    answers.source.count_pending()
    answers.source.count_pending()
    assert answers.source.counter.total == 1
    assert sum(answers.source.counter.by_second.values()) == 3
