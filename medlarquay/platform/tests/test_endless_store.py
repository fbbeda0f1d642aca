"""A store that sends without end."""

import contextlib
from collections.abc import Callable, Iterator

import pytest
from twisted.internet import defer, selectreactor

from medlarquay import addresses, errors, replica
from medlarquay.platform import store_client
from medlarquay.platform.tests import test_store_fetcher
from medlarquay.tasks.tests import test_endless_backend
from medlarquay.transport import factories

_OK = b'HTTP/1.1 200 OK\r\n'
_MAX_TURNS = 20_000


class _Bench:
    """A client of a store on loopback that answers without end."""

    def __init__(self, *, begin: bytes, endless: bytes) -> None:
        self.reactor = selectreactor.SelectReactor()
        self.server = test_endless_backend.EndlessServer(
            begin=begin,
            endless=endless,
        )
        self.port = self.reactor.listenTCP(
            0,
            factories.BuildingFactory(build=lambda: self.server),
            interface='127.0.0.1',
        )
        self.client = store_client.StoreClient(
            reactor=self.reactor,
            address=addresses.NodeAddress(
                host='127.0.0.1',
                port=self.port.getHost().port,
            ),
            clock=self.reactor.seconds,
        )

    def get(self, *, timeout_s: float) -> list[object]:
        """Read from the store; return what came of it, once known."""
        ended: list[object] = []
        reading = self.client.get('/kv-range', {}, timeout_s=timeout_s)
        defer.ensureDeferred(reading).addBoth(ended.append)
        self.until(lambda: ended)
        return ended

    def until(self, found: Callable[[], object]) -> None:
        """Let the reactor turn until something is found."""
        for _ in range(_MAX_TURNS):
            if found():
                return
            self.reactor.runUntilCurrent()
            self.reactor.doIteration(0.001)
        raise AssertionError('nothing was found in time')


@pytest.fixture
def serve() -> Iterator[Callable[[bytes, bytes], _Bench]]:
    """Return a function that starts a store which sends without end."""
    with contextlib.ExitStack() as stack:

        def build(begin: bytes, endless: bytes) -> _Bench:
            made = _Bench(begin=begin, endless=endless)
            stack.callback(made.port.stopListening)
            return made

        yield build


@pytest.mark.parametrize(
    ('begin', 'endless'),
    [
        (_OK + b'X: ', b'x' * 16_384),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 600),
        (_OK + b'\r\n', b'x' * 65_536),
        (_OK + b'Content-Length: 16777217\r\n\r\n', b''),
    ],
)
def test_an_answer_without_end_is_a_failure_before_its_time(
    serve: Callable[[bytes, bytes], _Bench],
    begin: bytes,
    endless: bytes,
) -> None:
    """Guards against memory filled by a faulty store."""
    made = serve(begin, endless)
    failed = made.get(timeout_s=60)[0]
    assert failed.check(errors.SourceError)
    made.until(lambda: made.server.closed)


def test_a_slow_answer_without_end_ends_in_time(
    serve: Callable[[bytes, bytes], _Bench],
) -> None:
    """Guards against a reader that waits for a faulty store for ever."""
    made = serve(_OK + b'\r\n{', b'')
    failed = made.get(timeout_s=0.05)[0]
    assert failed.check(errors.SourceError)
    made.until(lambda: made.server.closed)


def _page(key: str) -> dict[str, object]:
    return {
        'items': [test_store_fetcher._server(key)],
        'has_more': True,
        'at': 7,
    }


@pytest.mark.parametrize(
    'pages',
    [
        pytest.param([_page(f'{number:04}') for number in range(500)], id='on'),
        pytest.param([_page('a'), _page('a'), _page('a')], id='same'),
        pytest.param([{'items': [], 'has_more': True, 'at': 7}], id='empty'),
    ],
)
def test_pages_without_end_are_a_failure(
    pages: list[dict[str, object]],
) -> None:
    """Guards against a list that is read for ever."""
    store = test_store_fetcher.ScriptedStore(*pages)
    with pytest.raises(errors.SourceError):
        test_store_fetcher._fetch(store, replica.SourceTree.INSTANCES, 0)
    assert len(store.calls) <= 64
