"""Slots, deadlines, shedding and record of the backend server double."""

import json

import pytest
from twisted.internet import task

from medlarquay.testing import backend_server, backend_settings, http_exchange


class _Bench:
    """Sends requests to a backend server with two slots."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.server = backend_server.BackendServer(
            reactor=self.clock,
            name='b',
            settings=backend_settings.BackendSettings(slots=2, queue_limit=1),
            quiet=True,
        )
        self.answers = []

    def ask(self, target: str, **headers: str):
        """Send one request."""
        exchange = http_exchange.HttpExchange(
            method='GET',
            target=target,
            headers={key.replace('_', '-'): headers[key] for key in headers},
            body=b'',
            send=self.answers.append,
            reset=self.answers.clear,
        )
        self.server.handle(exchange)
        return exchange

    def states(self):
        """Return the recorded states by request."""
        self.ask('/-/record')
        entries = json.loads(self.answers.pop().partition(b'\r\n\r\n')[2])
        return {entry['request']: entry['state'] for entry in entries}


@pytest.fixture
def bench() -> _Bench:
    """Return a backend server and its requests."""
    return _Bench()


def test_slots_then_queue_then_shed(bench) -> None:
    """Guards against a capacity that differs from the stated slots."""
    for number in range(4):
        bench.ask('/', x_service_ms='100', x_request_id=str(number))
    assert b'503' in bench.answers[0]
    assert b'Medlarquay-Shed: 1' in bench.answers[0]
    assert bench.states() == {'0': 'running', '1': 'running'}
    bench.clock.advance(0.1)
    assert bench.states() == {
        '0': 'completed',
        '1': 'completed',
        '2': 'running',
    }


def test_closed_connection_cancels(bench) -> None:
    """Guards against abandoned work that keeps its slot."""
    exchange = bench.ask('/?service_ms=100', x_request_id='1')
    exchange.on_disconnect()
    assert bench.states() == {'1': 'cancelled'}
    assert not bench.server._running


def test_deadline_ends_a_run(bench) -> None:
    """Guards against work that goes on after its caller stopped waiting."""
    bench.ask(
        '/',
        x_service_ms='100',
        request_timeout_ms='50',
        x_request_id='1',
    )
    bench.clock.advance(0.05)
    assert b'504' in bench.answers[0]
    assert bench.states() == {'1': 'expired'}


def test_deadline_in_the_queue_is_not_run(bench) -> None:
    """Guards against a request recorded as run that never had a slot."""
    for number in range(3):
        bench.ask(
            '/',
            x_service_ms='100',
            request_timeout_ms='50' if number == 2 else '200',
            x_request_id=str(number),
        )
    bench.clock.advance(0.06)
    assert b'Medlarquay-Shed: 1' in bench.answers[0]
    assert '2' not in bench.states()


def test_reports_lag_and_mislead(bench) -> None:
    """Guards against health and load reports that are always right."""
    settings = backend_settings.BackendSettings(report_lag_ms=1000)
    bench.server.settings = settings
    bench.clock.advance(5)
    bench.ask('/', x_service_ms='9000')
    bench.ask('/-/load')
    assert bench.answers.pop().endswith(b'\r\n\r\n0')
    bench.clock.advance(1)
    bench.ask('/-/load')
    assert bench.answers.pop().endswith(b'\r\n\r\n1')
    bench.server.settings = backend_settings.BackendSettings(
        reported_health='down',
    )
    bench.ask('/-/health')
    assert bench.answers.pop().endswith(b'down')
