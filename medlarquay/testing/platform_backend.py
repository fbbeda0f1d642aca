"""Stand-in of a backend server on the platform."""

import functools

from twisted.internet import interfaces

from medlarquay import events, ids, transport

__all__ = ('PlatformBackend',)

_MS_PER_SECOND = 1000
_OK = 200
_MISDIRECTED = 421
_REQUEST_ID = b'attempt-id'
_EXPECTED = b'target-instance'
_WORK = b'x-work-ms'


class PlatformBackend:
    """Answers requests with what it was sent, after some work.

    Parameters
    ----------
    reactor : IReactorTime
        Ends the work.
    instance : str
        Id of this run.
    service : str
        Service that it runs.

    Notes
    -----
    ``x-work-ms`` of a request tells how long it works. The body of an answer
    is the request line, the body and the calling service, one a line.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        instance: str,
        service: str,
    ) -> None:
        self.instance = instance
        self.service = service
        self._reactor = reactor
        self._connections: dict[ids.CallerId, transport.CallerConnection] = {}
        self._last = 0

    def listen(
        self,
        reactor: interfaces.IReactorTCP,
        *,
        host: str,
        port: int,
    ) -> interfaces.IListeningPort:
        """Accept requests on one address."""
        factory = transport.BuildingFactory(build=self._build)
        return reactor.listenTCP(port, factory, interface=host)

    def serve(self, message: events.RequestReceived) -> None:
        """Answer a request after its work."""
        fields = dict(message.headers)
        expected = fields.get(_EXPECTED, b'').decode()
        if expected not in {'', self.instance}:
            self._answer(message, _MISDIRECTED, b'')
            return
        lines = (
            b'%b %b' % (message.method, message.target),
            message.body,
            fields.get(b'caller-service', b''),
            self.instance.encode(),
        )
        self._reactor.callLater(
            int(fields.get(_WORK, b'0')) / _MS_PER_SECOND,
            self._answer,
            message,
            _OK,
            b'\n'.join(lines),
        )

    def close(self, caller: ids.CallerId) -> None:
        """Forget a connection."""
        self._connections.pop(caller, None)

    def _build(self) -> transport.CallerConnection:
        self._last += 1
        caller = ids.CallerId(self._last)
        connection = transport.CallerConnection(
            caller=caller,
            deliver=lambda message: _take(message, self),
            reactor=self._reactor,
        )
        self._connections[caller] = connection
        return connection

    def _answer(
        self,
        message: events.RequestReceived,
        status: int,
        body: bytes,
    ) -> None:
        connection = self._connections.get(message.caller)
        if connection is None:
            return
        request_id = dict(message.headers).get(_REQUEST_ID, b'')
        connection.answer(
            events.AnswerReady(
                caller=message.caller,
                status=status,
                headers=(
                    (_REQUEST_ID, request_id),
                    (b'response-signature', b'stand-in'),
                    (b'instance-id', self.instance.encode()),
                ),
                body=body,
            ),
        )


@functools.singledispatch
def _take(message: object, server: PlatformBackend) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_take.register
def _asked(message: events.RequestReceived, server: PlatformBackend) -> None:
    server.serve(message)


@_take.register
def _gone(message: events.CallerGone, server: PlatformBackend) -> None:
    server.close(message.caller)
