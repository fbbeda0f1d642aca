"""Calls of a backend server double to the next service of a chain."""

from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay.testing import backend_job, client_answer, http_client

__all__ = ('ChainCaller',)

_MS_PER_SECOND = 1000
_OK = 200
_FAILED = 503
_RETRY = 'medlarquay-retry'


class ChainCaller:
    """Calls the next service of a chain through the local node.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens connections and runs timers.
    via : str
        ``host:port`` of the node.
    """

    def __init__(self, *, reactor: interfaces.IReactorTCP, via: str) -> None:
        self._reactor = reactor
        self._via = via
        self._client = http_client.HttpClient(reactor=reactor)

    def call(
        self,
        job: backend_job.BackendJob,
        deliver: Callable[[int, dict[str, str]], None],
    ) -> None:
        """Call the first host of the chain, and pass it the rest.

        Parameters
        ----------
        job : BackendJob
            Request with the chain in ``x-chain``.
        deliver : callable
            Receives the status and the header fields of the answer.
        """
        exchange = job.exchange
        host, _, rest = exchange.headers['x-chain'].partition(',')
        remaining_s = max(0, job.deadline - self._reactor.seconds())
        headers = {
            'host': host,
            'x-request-id': exchange.headers.get('x-request-id', ''),
            'request-timeout-ms': str(int(remaining_s * _MS_PER_SECOND)),
        }
        if rest:
            headers['x-chain'] = rest
        self._client.request(
            address=self._via,
            head=f'{exchange.method} {exchange.target}',
            headers=headers,
            body=exchange.body,
            timeout_s=remaining_s,
            deliver=lambda answer: deliver(*_chained_answer(answer)),
        )


def _chained_answer(
    answer: client_answer.ClientAnswer,
) -> tuple[int, dict[str, str]]:
    """Return the status and header fields for the caller of the chain.

    Any failure becomes 503. Of the header fields, only the retry hint is
    passed on.
    """
    status = _OK if answer.status == _OK else _FAILED
    retry = answer.headers.get(_RETRY)
    return status, {} if retry is None else {_RETRY: retry}
