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
# Longest pause within an answer. The duration of a whole answer says nothing
# about the store: a whole configuration takes about a second on a link of
# 3.5 Mbit/s.
_IDLE_TIMEOUT_S = 1.0
# Ends a read whose answer arrives as an endless trickle of bytes.
_MAX_ANSWER_S = 10.0
# A page of items holds 1 MB of values, a third more in base64.
_MAX_ANSWER_BYTES = 1 << 24
# Answers from this length on are logged: they take a noticeable part of a slow
# link. With shorter ones each read would write a log line.
_MIN_LOGGED_BYTES = 1 << 14
_MS_PER_SECOND = 1000
_OK = 200
_GET = b'GET'

_Result = events.BackendAnswered | events.BackendFailed


class StoreClient:
    """Calls the store over persistent connections.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Opens connections and schedules timeouts.
    address : NodeAddress
        Address of the store.
    clock : callable
        Returns seconds on the monotonic clock.
    running : callable, optional
        Returns seconds on a clock that leaves out the pauses of this
        process; overdue answers are measured on it. Defaults to ``clock``.

    Notes
    -----
    A connection on which an answer is overdue is closed, because the store
    sends nothing more on it. An answer that is still arriving is not overdue.
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
        self._last_exchange = 0

    async def get(
        self,
        path: str,
        query: Mapping[str, object],
        *,
        timeout_s: float,
    ) -> Any:
        """Send a GET request; return the decoded body of the answer.

        Parameters
        ----------
        path : str
            Path of the request.
        query : Mapping
            Query parameters of the request.
        timeout_s : float
            Longest time until the answer begins, in seconds.

        Raises
        ------
        SourceError
            If the store does not answer in time, refuses the request or
            sends no valid CBOR. ``status`` is set only after a refusal.
        """
        target = f'{path}?{urls.urlencode(query)}'
        requested_at = self._clock()
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
        if len(answer.body) >= _MIN_LOGGED_BYTES:
            _LOG.info(
                'target={} bytes={} answer_ms={:.0f}',
                target,
                len(answer.body),
                (self._clock() - requested_at) * _MS_PER_SECOND,
            )
        try:
            return store_body.decode_body(answer.body)
        except errors.SourceError as cause:
            raise self._error(f'{path}: {cause}') from cause

    async def _exchange(self, target: str, timeout_s: float) -> _Result:
        deadline = self._clock() + timeout_s
        idle_deadline = self._running() + timeout_s
        connection = await self._connect()
        self._last_exchange += 1
        exchange = ids.ExchangeId(self._last_exchange)
        call = store_call.StoreCall(
            connection=connection,
            ended=defer.Deferred(),
            idle_deadline=idle_deadline,
            final_deadline=idle_deadline + _MAX_ANSWER_S,
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
        self._schedule_check(exchange, call)
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
            on_result=self._deliver,
            on_idle=self._idle.append,
            on_closed=_ignore_closed,
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

    def _schedule_check(
        self,
        exchange: ids.ExchangeId,
        call: store_call.StoreCall,
    ) -> None:
        left = max(0, call.idle_deadline - self._running())
        call.timer = self._reactor.callLater(left, self._check, exchange)

    def _check(self, exchange: ids.ExchangeId) -> None:
        """Fail a call whose answer is overdue; else check again later."""
        call = self._calls.get(exchange)
        if call is None:
            return
        now = self._running()
        if call.check_progress() and now < call.final_deadline:
            call.idle_deadline = now + _IDLE_TIMEOUT_S
        if now < call.idle_deadline:
            self._schedule_check(exchange, call)
            return
        self._calls.pop(exchange)
        call.ended.errback(self._error('no answer in time'))

    def _error(self, message: str) -> errors.SourceError:
        return errors.SourceError(
            message,
            step=_STEP,
            peer=str(self._address),
        )


def _ignore_closed(connection: transport.BackendConnection) -> None:
    """Ignore a closed connection: ``_connect`` skips unusable idle ones."""
