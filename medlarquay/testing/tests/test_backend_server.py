"""Tests of slots, deadlines, shedding and reports of the backend double."""

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
        """Return the recorded state of each request by its id."""
        self.ask('/-/record')
        entries = json.loads(self.answers.pop().partition(b'\r\n\r\n')[2])
        return {entry['request']: entry['state'] for entry in entries}


@pytest.fixture
def bench() -> _Bench:
    """Return a backend server double on a simulated clock."""
    return _Bench()


def test_slots_then_queue_then_shed(bench) -> None:
    """Guards against a capacity other than the configured slots and queue."""
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


def test_closed_connection_cancels_its_request(bench) -> None:
    """Guards against a cancelled request that keeps its slot."""
    exchange = bench.ask('/?service_ms=100', x_request_id='1')
    exchange.on_disconnect()
    assert bench.states() == {'1': 'cancelled'}
    assert not bench.server._running


def test_deadline_ends_a_run(bench) -> None:
    """Guards against a run that continues after its deadline."""
    bench.ask(
        '/',
        x_service_ms='100',
        request_timeout_ms='50',
        x_request_id='1',
    )
    bench.clock.advance(0.05)
    assert b'504' in bench.answers[0]
    assert bench.states() == {'1': 'expired'}


def test_request_that_expires_in_the_queue_is_shed(bench) -> None:
    """Guards against recording a run of a request that had no slot."""
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


def test_reports_lag_or_have_the_configured_value(bench) -> None:
    """Guards against reports that ignore the configured lag or values.

    Tests with late or false health and load would then pass without
    exercising them.
    """
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
