"""Tests of an owner whose backend server is replaced by another run."""

import pytest

from medlarquay import ids, states, transport
from medlarquay.tasks.tests import owner_bench

_NEXT_RUN = ids.InstanceId('run-2')
_OTHER_SERVICE = ids.ServiceName('press-archive')
_EXPECTED = b'wanted'


@pytest.fixture(name='busy')
def _busy_owner() -> owner_bench.OwnerBench:
    """Return an owner with one slot, which call 1 uses."""
    bench = owner_bench.OwnerBench(slots=1)
    bench.owner.local_backend.names = transport.HeaderNames(
        expected_instance=_EXPECTED,
    )
    bench.call(1)
    return bench


def test_queued_request_does_not_run_at_another_service(
    busy: owner_bench.OwnerBench,
) -> None:
    """Guards against a queue that outlives the service it was meant for.

    The address of the backend server was given to another service while a
    request waited; the request would name the new run and be run there.
    """
    busy.call(2)
    busy.configure(
        states.InstanceState.LIVE, run=_NEXT_RUN, service=_OTHER_SERVICE
    )
    assert busy.outcomes() == {2: 'not-run no_backend'}
    busy.fail(1)
    assert busy.started_paths() == ['/approve/1']


def test_held_suspect_does_not_run_at_another_service() -> None:
    """Guards against a suspect that is released at another service."""
    bench = owner_bench.OwnerBench(slots=3)
    bench.call(1, target='/poison')
    bench.call(2, target='/neighbour')
    bench.crash(1, 2)
    bench.recover()
    bench.call(3, target='/neighbour')
    bench.call(4, target='/poison')
    bench.configure(
        states.InstanceState.LIVE, run=_NEXT_RUN, service=_OTHER_SERVICE
    )
    assert bench.outcomes()[4] == 'not-run no_backend'
    bench.answer(3)
    assert bench.started_paths()[2:] == ['/neighbour']


def test_queued_request_runs_at_the_next_run_of_its_service(
    busy: owner_bench.OwnerBench,
) -> None:
    """Guards against requests refused although their service still runs."""
    busy.call(2)
    busy.configure(states.InstanceState.LIVE, run=_NEXT_RUN)
    busy.fail(1)
    starts = busy.backend.received
    assert (_EXPECTED, _NEXT_RUN.encode()) in starts[-1].headers
    assert busy.started_paths() == ['/approve/1', '/approve/1']
