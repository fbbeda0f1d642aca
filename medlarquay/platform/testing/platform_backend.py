"""Stand-in for a backend server on the platform."""

from twisted.internet import interfaces

from medlarquay import events
from medlarquay.platform.testing import request_server

__all__ = ('PlatformBackend',)

_MS_PER_SECOND = 1000
_OK = 200
_MISDIRECTED = 421
_REQUEST_ID = b'attempt-id'
_EXPECTED_INSTANCE = b'target-instance'
_WORK_MS = b'x-work-ms'


class PlatformBackend(request_server.RequestServer):
    """Echoes requests after a simulated working time.

    Parameters
    ----------
    reactor : IReactorTime
        Schedules the answers.
    instance : str
        Id of this run.
    service : str
        Service that it runs.

    Notes
    -----
    The header ``x-work-ms`` of a request gives its working time. The body of
    an answer is the request line, the body, the calling service and the id
    of this run, one a line.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        instance: str,
        service: str,
    ) -> None:
        super().__init__(reactor=reactor)
        self.instance = instance
        self.service = service

    def serve(self, message: events.RequestReceived) -> None:
        """Answer a request after its working time."""
        fields = dict(message.headers)
        expected = fields.get(_EXPECTED_INSTANCE, b'').decode()
        if expected not in {'', self.instance}:
            self._reply(message, _MISDIRECTED, b'')
            return
        lines = (
            b'%b %b' % (message.method, message.target),
            message.body,
            fields.get(b'caller-service', b''),
            self.instance.encode(),
        )
        self._reactor.callLater(
            int(fields.get(_WORK_MS, b'0')) / _MS_PER_SECOND,
            self._reply,
            message,
            _OK,
            b'\n'.join(lines),
        )

    def _reply(
        self,
        message: events.RequestReceived,
        status: int,
        body: bytes,
    ) -> None:
        request_id = dict(message.headers).get(_REQUEST_ID, b'')
        self.answer(
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
