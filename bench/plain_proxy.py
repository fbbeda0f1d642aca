"""Proxy with a plain policy, the baseline of the flood benchmark."""

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
_TIMEOUT = 'request-timeout-ms'
_DEFAULT_TIMEOUT_MS = 2000
_OK = 200
_UNAVAILABLE = 503
_TIMED_OUT = 504
_DROPPED = frozenset(('content-length', 'connection', _TIMEOUT))


class PlainProxy:
    """Round robin over the backend servers of a host with three retries.

    It knows no ranks, and the backend servers queue in order of arrival. A
    503 answer and a lost connection are attempted again, as most proxies do
    for any method when they are told to retry.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens connections.
    backends : dict of iterators
        Addresses of backend servers by host, without end.
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
        """Serve one request."""
        timeout_ms = float(exchange.headers.get(_TIMEOUT, _DEFAULT_TIMEOUT_MS))
        call = proxied_call.ProxiedCall(
            exchange=exchange,
            deadline=self._reactor.seconds() + timeout_ms / _MS_PER_SECOND,
            attempts_left=_ATTEMPTS,
        )
        exchange.on_disconnect = call.leave
        self._attempt(call)

    def _attempt(self, call: proxied_call.ProxiedCall) -> None:
        left_s = call.deadline - self._reactor.seconds()
        if call.left or left_s <= 0:
            call.exchange.answer(status=_TIMED_OUT)
            return
        call.attempts_left -= 1
        exchange = call.exchange
        self._client.request(
            address=next(self._backends[exchange.headers['host']]),
            head=f'{exchange.method} {exchange.target}',
            headers=_forwarded(exchange.headers),
            body=exchange.body,
            timeout_s=left_s,
            deliver=functools.partial(self._answered, call),
        )

    def _answered(
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
                headers=_forwarded(answer.headers),
            )


def _forwarded(headers: dict[str, str]) -> dict[str, str]:
    return {
        name: content
        for name, content in headers.items()
        if name not in _DROPPED
    }


def main() -> None:
    """Serve until the process ends."""
    from twisted.internet import reactor  # noqa: PLC0415

    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--service', action='append', required=True)
    found = parser.parse_args()
    backends: dict[str, Iterator[str]] = {}
    for service in found.service:
        host, _, addresses = service.partition('=')
        backends[host] = itertools.cycle(addresses.split(','))
    proxy = PlainProxy(reactor=reactor, backends=backends)
    serving.serve(reactor=reactor, port=found.port, handle=proxy.handle)


if __name__ == '__main__':
    main()
