"""HTTP proxy with round robin and retries, the baseline of ``bench.flood``."""

import argparse
import functools
import itertools
from collections.abc import Iterator

from twisted.internet import interfaces

from bench import proxied_call
from medlarquay.testing import (
    client_answer,
    http_client,
    http_exchange,
    serving,
)

__all__ = ('PlainProxy',)

_ATTEMPTS = 4
_MS_PER_SECOND = 1000
_TIMEOUT_HEADER = 'request-timeout-ms'
_DEFAULT_TIMEOUT_MS = 2000
_OK = 200
_UNAVAILABLE = 503
_TIMED_OUT = 504
_DROPPED_HEADERS = frozenset(('content-length', 'connection', _TIMEOUT_HEADER))


class PlainProxy:
    """HTTP proxy with round robin over backend servers and three retries.

    It ignores ranks, and the backend servers queue in order of arrival. It
    retries a 503 answer and a lost connection for any method, as most proxies
    do when they are configured to retry.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens connections.
    backends : dict of iterators
        Endless iterator over the addresses of backend servers, by host.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTCP,
        backends: dict[str, Iterator[str]],
    ) -> None:
        self._reactor = reactor
        self._backends = backends
        self._client = http_client.HttpClient(reactor=reactor)

    def handle(self, exchange: http_exchange.HttpExchange) -> None:
        """Forward a request and answer it."""
        timeout_ms = float(
            exchange.headers.get(_TIMEOUT_HEADER, _DEFAULT_TIMEOUT_MS)
        )
        call = proxied_call.ProxiedCall(
            exchange=exchange,
            deadline=self._reactor.seconds() + timeout_ms / _MS_PER_SECOND,
            attempts_left=_ATTEMPTS,
        )
        exchange.on_disconnect = call.mark_caller_gone
        self._attempt(call)

    def _attempt(self, call: proxied_call.ProxiedCall) -> None:
        remaining_s = call.deadline - self._reactor.seconds()
        if call.caller_gone or remaining_s <= 0:
            call.exchange.answer(status=_TIMED_OUT)
            return
        call.attempts_left -= 1
        exchange = call.exchange
        self._client.request(
            address=next(self._backends[exchange.headers['host']]),
            head=f'{exchange.method} {exchange.target}',
            headers=_forwarded_headers(exchange.headers),
            body=exchange.body,
            timeout_s=remaining_s,
            deliver=functools.partial(self._receive_answer, call),
        )

    def _receive_answer(
        self,
        call: proxied_call.ProxiedCall,
        answer: client_answer.ClientAnswer,
    ) -> None:
        if answer.timed_out:
            call.exchange.answer(status=_TIMED_OUT)
        elif answer.status in {0, _UNAVAILABLE} and call.attempts_left:
            self._attempt(call)
        else:
            call.exchange.answer(
                answer.body,
                status=answer.status or _UNAVAILABLE,
                headers=_forwarded_headers(answer.headers),
            )


def _forwarded_headers(headers: dict[str, str]) -> dict[str, str]:
    return {
        name: content
        for name, content in headers.items()
        if name not in _DROPPED_HEADERS
    }


def main() -> None:
    """Serve until the process is stopped."""
    from twisted.internet import reactor  # noqa: PLC0415

    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--service', action='append', required=True)
    arguments = parser.parse_args()
    backends: dict[str, Iterator[str]] = {}
    for service in arguments.service:
        host, _, addresses = service.partition('=')
        backends[host] = itertools.cycle(addresses.split(','))
    proxy = PlainProxy(reactor=reactor, backends=backends)
    serving.serve(reactor=reactor, port=arguments.port, handle=proxy.handle)


if __name__ == '__main__':
    main()
