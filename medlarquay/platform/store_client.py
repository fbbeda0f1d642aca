"""HTTP client of the platform's store."""

from collections.abc import Callable, Mapping
from typing import Any
from urllib import parse as urls

import logbook
from twisted.internet import defer, endpoints, interfaces

from medlarquay import addresses, errors, events, ids, transport
from medlarquay.platform import store_body, store_call

__all__ = ('StoreClient',)

_LOG = logbook.Logger('store')
_STEP = 'call store'
_CONNECT_TIMEOUT_S = 1
# Longest pause within an answer. A whole configuration takes about a second
# on a link of 3.5 Mbit/s, so its length says nothing about the store.
_SILENCE_S = 1.0
# A trickle of bytes must not hold a read for ever.
_LONGEST_ANSWER_S = 10.0
# A page of items holds 1 MB of values, a third more in base64.
_MAX_ANSWER_BYTES = 1 << 24
# An answer of this length takes a noticeable part of a slow link; shorter
# ones would need a line for each read.
_LOGGED_BYTES = 1 << 14
_MS_PER_SECOND = 1000
_OK = 200
_GET = b'GET'

_Result = events.BackendAnswered | events.BackendFailed


class StoreClient:
    """Calls the store over connections that are kept for later calls.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Opens connections and schedules timeouts.
    address : NodeAddress
        Store.
    clock : callable
        Returns seconds on the monotonic clock.
    running : callable, optional
        Returns seconds without the pauses of the process, which measure
        silence; the clock if left out.

    Notes
    -----
    A connection on which an answer is overdue is closed: the store sends
    nothing more on it. An answer that is still arriving is not overdue.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTCP,
        address: addresses.NodeAddress,
        clock: Callable[[], float],
        running: Callable[[], float] | None = None,
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._clock = clock
        self._running = running or clock
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor,
            address.host,
            address.port,
            timeout=_CONNECT_TIMEOUT_S,
        )
        self._idle: list[transport.BackendConnection] = []
        self._calls: dict[ids.ExchangeId, store_call.StoreCall] = {}
        self._last = 0

    async def get(
        self,
        path: str,
        query: Mapping[str, object],
        *,
        timeout_s: float,
    ) -> Any:
        """Return the parsed body of the store's answer.

        Parameters
        ----------
        path : str
            Path of the call.
        query : Mapping
            Parameters of the call.
        timeout_s : float
            Longest time until the answer begins, in seconds.

        Raises
        ------
        SourceError
            If the store does not answer in time, refuses or sends no CBOR;
            its ``status`` tells a refusal.
        """
        target = f'{path}?{urls.urlencode(query)}'
        asked_at = self._clock()
        answer = await self._exchange(target, timeout_s)
        if isinstance(answer, events.BackendFailed):
            raise self._error(f'{path}: the connection was lost')
        if answer.status != _OK:
            raise errors.SourceError(
                f'{path}: answered {answer.status}',
                step=_STEP,
                peer=str(self._address),
                status=answer.status,
            )
        if len(answer.body) >= _LOGGED_BYTES:
            _LOG.info(
                'target={} bytes={} answer_ms={:.0f}',
                target,
                len(answer.body),
                (self._clock() - asked_at) * _MS_PER_SECOND,
            )
        try:
            return store_body.decode_body(answer.body)
        except errors.SourceError as cause:
            raise self._error(f'{path}: {cause}') from cause

    async def _exchange(self, target: str, timeout_s: float) -> _Result:
        deadline = self._clock() + timeout_s
        silent_at = self._running() + timeout_s
        connection = await self._connect()
        self._last += 1
        exchange = ids.ExchangeId(self._last)
        call = store_call.StoreCall(
            connection=connection,
            ended=defer.Deferred(),
            silent_at=silent_at,
            fails_at=silent_at + _LONGEST_ANSWER_S,
            seen_bytes=connection.received_bytes,
        )
        self._calls[exchange] = call
        connection.start(
            events.StartRequest(
                exchange=exchange,
                method=_GET,
                target=target.encode(),
                headers=((b'host', str(self._address).encode()),),
                body=b'',
                deadline=deadline,
            ),
        )
        self._check_later(exchange, call)
        try:
            return await call.ended
        finally:
            if call.timer is not None and call.timer.active():
                call.timer.cancel()
            else:
                connection.abort()

    async def _connect(self) -> transport.BackendConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.usable:
                return connection
        opened = transport.BackendConnection(
            deliver=self._deliver,
            release=self._idle.append,
            closed=_forget,
            max_answer_bytes=_MAX_ANSWER_BYTES,
        )
        try:
            return await endpoints.connectProtocol(self._endpoint, opened)
        except Exception as cause:
            raise self._error(f'cannot connect: {cause}') from cause

    def _deliver(self, message: _Result) -> None:
        call = self._calls.pop(message.exchange, None)
        if call is not None:
            call.ended.callback(message)

    def _check_later(
        self,
        exchange: ids.ExchangeId,
        call: store_call.StoreCall,
    ) -> None:
        left = max(0, call.silent_at - self._running())
        call.timer = self._reactor.callLater(left, self._check, exchange)

    def _check(self, exchange: ids.ExchangeId) -> None:
        """Fail a call whose answer does not arrive any more."""
        call = self._calls.get(exchange)
        if call is None:
            return
        now = self._running()
        if call.progressed() and now < call.fails_at:
            call.silent_at = now + _SILENCE_S
        if now < call.silent_at:
            self._check_later(exchange, call)
            return
        self._calls.pop(exchange)
        call.ended.errback(self._error('no answer in time'))

    def _error(self, message: str) -> errors.SourceError:
        return errors.SourceError(
            message,
            step=_STEP,
            peer=str(self._address),
        )


def _forget(connection: transport.BackendConnection) -> None:
    """Leave a closed connection in the list; it is not usable any more."""
