"""Tests of a store whose answers do not end."""

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


class _LoopbackStore:
    """Store on loopback whose answer does not end, with its client."""

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
        """Read from the store; return the result or failure as a list."""
        ended: list[object] = []
        reading = self.client.get('/kv-range', {}, timeout_s=timeout_s)
        defer.ensureDeferred(reading).addBoth(ended.append)
        self.run_until(lambda: ended)
        return ended

    def run_until(self, condition: Callable[[], object]) -> None:
        """Run the reactor until a condition holds."""
        for _ in range(_MAX_TURNS):
            if condition():
                return
            self.reactor.runUntilCurrent()
            self.reactor.doIteration(0.001)
        raise AssertionError('condition not met in time')


@pytest.fixture
def serve() -> Iterator[Callable[[bytes, bytes], _LoopbackStore]]:
    """Return a function that starts a store with an endless answer."""
    with contextlib.ExitStack() as stack:

        def start(begin: bytes, endless: bytes) -> _LoopbackStore:
            store = _LoopbackStore(begin=begin, endless=endless)
            stack.callback(store.port.stopListening)
            return store

        yield start


@pytest.mark.parametrize(
    ('begin', 'endless'),
    [
        (_OK + b'X: ', b'x' * 16_384),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 600),
        (_OK + b'\r\n', b'x' * 65_536),
        (_OK + b'Content-Length: 16777217\r\n\r\n', b''),
    ],
)
def test_endless_answer_fails_before_the_timeout(
    serve: Callable[[bytes, bytes], _LoopbackStore],
    begin: bytes,
    endless: bytes,
) -> None:
    """Guards against a faulty store that fills the memory of the reader."""
    store = serve(begin, endless)
    failure = store.get(timeout_s=60)[0]
    assert failure.check(errors.SourceError)
    store.run_until(lambda: store.server.closed)


def test_unfinished_answer_fails_at_the_timeout(
    serve: Callable[[bytes, bytes], _LoopbackStore],
) -> None:
    """Guards against a reader that waits for ever for a faulty store."""
    store = serve(_OK + b'\r\n{', b'')
    failure = store.get(timeout_s=0.05)[0]
    assert failure.check(errors.SourceError)
    store.run_until(lambda: store.server.closed)


def _page(key: str) -> dict[str, object]:
    return {
        'items': [test_store_fetcher._server_item(key)],
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
def test_endless_pages_fail_the_read(
    pages: list[dict[str, object]],
) -> None:
    """Guards against a reader that requests pages of a list for ever."""
    store = test_store_fetcher.ScriptedStore(*pages)
    with pytest.raises(errors.SourceError):
        test_store_fetcher._fetch_once(store, replica.SourceTree.INSTANCES, 0)
    assert len(store.calls) <= 64
