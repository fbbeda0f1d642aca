"""WebSocket link between two nodes."""

from collections.abc import Callable

from twisted.internet import interfaces, protocol
from websockets import client as ws_client
from websockets import exceptions, frames, http11, uri
from websockets import protocol as ws_protocol
from websockets import server as ws_server
from zope.interface import implementer

from medlarquay import codec, errors
from medlarquay.transport import (
    frame_reader,
    prompt_write,
    send_buffer,
    send_report,
    send_tracker,
)

__all__ = ('Link',)

_GOING_AWAY = frames.CloseCode.GOING_AWAY


def _ignore(link: 'Link') -> None:
    """Ignore the arrival of bytes."""


@implementer(interfaces.IPullProducer)
class Link(protocol.Protocol):
    """Exchanges binary frames by the sans-IO protocol of ``websockets``.

    Fragments of large frames may be interleaved with other frames; the
    receiver delivers whole frames only.

    Parameters
    ----------
    engine : ServerProtocol or ClientProtocol
        State of the WebSocket protocol; built by ``accepting`` or
        ``connecting``.
    opened, received, closed : callable
        Called with this link when the handshake completes, with this link and
        a frame for each frame received, and with this link once when it is
        lost.
    data_arrived : callable
        Called with this link whenever bytes arrive, also within a frame.
    """

    def __init__(
        self,
        *,
        engine: ws_server.ServerProtocol | ws_client.ClientProtocol,
        opened: Callable[['Link'], None],
        received: Callable[['Link', bytes], None],
        closed: Callable[['Link'], None],
        data_arrived: Callable[['Link'], None] = _ignore,
    ) -> None:
        self._engine = engine
        self._opened = opened
        self._received = received
        self._closed = closed
        self._data_arrived = data_arrived
        self._path = ''
        self._reader = frame_reader.FrameReader()
        self._tracker = send_tracker.SendTracker()
        self._producing = False
        self._lost = False

    @classmethod
    def accepting(
        cls,
        *,
        opened: Callable[['Link'], None],
        received: Callable[['Link', bytes], None],
        closed: Callable[['Link'], None],
    ) -> 'Link':
        """Return the accepting side of a link."""
        return cls(
            engine=ws_server.ServerProtocol(max_size=codec.MAX_FRAME_BYTES),
            opened=opened,
            received=received,
            closed=closed,
        )

    @classmethod
    def connecting(
        cls,
        *,
        path: str,
        opened: Callable[['Link'], None],
        received: Callable[['Link', bytes], None],
        closed: Callable[['Link'], None],
        data_arrived: Callable[['Link'], None] = _ignore,
    ) -> 'Link':
        """Return the connecting side of a link."""
        target = uri.parse_uri(f'ws://node{path}')
        link = cls(
            engine=ws_client.ClientProtocol(
                target,
                max_size=codec.MAX_FRAME_BYTES,
            ),
            opened=opened,
            received=received,
            closed=closed,
            data_arrived=data_arrived,
        )
        link._path = path  # noqa: SLF001
        return link

    @property
    def path(self) -> str:
        """Path of the handshake; differs for call links and control links."""
        return self._path

    @property
    def closed_gracefully_by_peer(self) -> bool:
        """Whether the other side closed the link by ``close_gracefully``."""
        received = self._engine.close_rcvd
        return received is not None and received.code == _GOING_AWAY

    def connectionMade(self) -> None:  # noqa: N802
        """Start the handshake on the connecting side."""
        self.transport.setTcpNoDelay(True)
        if isinstance(self._engine, ws_client.ClientProtocol):
            self._engine.send_request(self._engine.connect())
            self._flush()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed received bytes and deliver the frames they complete."""
        self._data_arrived(self)
        self._engine.receive_data(data)
        for event in self._engine.events_received():
            self._handle(event)
        self._flush()
        if self._engine.close_expected() and not _awaits_close(self._engine):
            self.transport.loseConnection()

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Report the loss of the link and of unsent frames."""
        self._lost = True
        self._tracker.report_lost()
        self._closed(self)

    def send(
        self,
        frame: bytes,
        *,
        on_sent: Callable[[send_report.SendReport], None] | None = None,
    ) -> None:
        """Send one binary frame in order; drop it if the link is not open.

        Parameters
        ----------
        frame : bytes
            Frame to send.
        on_sent : callable, optional
            Receives ``SendReport`` once the kernel has accepted the last
            byte, possibly within this call, or the link was lost before.
        """
        pending = self._tracker.begin(frame, on_sent, self.transport)
        if self._lost or self._engine.state is not ws_protocol.OPEN:
            if pending is not None:
                pending.report_lost()
        else:
            self._engine.send_binary(frame)
            self._flush()
            self._tracker.note_written(pending, self.transport)
            if self._tracker and not self._producing:
                # The transport notifies only its producer of an empty
                # buffer.
                self._producing = True
                self.transport.registerProducer(self, False)  # noqa: FBT003

    def ping(self) -> None:
        """Send a WebSocket ping, which the peer answers at once."""
        if not self._lost and self._engine.state is ws_protocol.OPEN:
            self._engine.send_ping(b'')
            self._flush()

    def close(self) -> None:
        """Close the connection after the buffered bytes were sent."""
        self.transport.loseConnection()

    def close_gracefully(self) -> bool:
        """Close the link by a closing handshake after all frames sent.

        Returns
        -------
        bool
            Whether the peer had already acknowledged all bytes sent.

        Notes
        -----
        The closing handshake (RFC 6455, section 7.1.1) follows the frames
        sent; the close frame of the peer proves that they arrived.
        """
        waiting = send_buffer.waiting_bytes(self.transport)
        acknowledged = send_buffer.kernel_bytes(self.transport) == 0
        if self._engine.state is ws_protocol.OPEN:
            self._engine.send_close(_GOING_AWAY)
            self._flush()
        else:
            self.transport.loseConnection()
        return acknowledged and not waiting

    def resumeProducing(self) -> None:  # noqa: N802
        """Report the frames sent; called when the buffer is empty."""
        self._tracker.report_sent(self.transport)
        if self._producing and not self._tracker:
            self._producing = False
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        """Report unsent frames as lost; called when the connection is lost."""
        self._tracker.report_lost()

    def abort(self) -> None:
        """Close the connection without a closing handshake."""
        self.transport.abortConnection()

    def _handle(self, event: object) -> None:
        if isinstance(event, frames.Frame):
            self._handle_frame(event)
            return
        engine = self._engine
        if isinstance(engine, ws_server.ServerProtocol) and isinstance(
            event,
            http11.Request,
        ):
            self._path = event.path
            engine.send_response(engine.accept(event))
        if self._engine.state is ws_protocol.OPEN:
            self._opened(self)

    def _handle_frame(self, frame: frames.Frame) -> None:
        try:
            whole = self._reader.add(frame)
        except errors.DecodeError:
            self.transport.abortConnection()
            return
        if whole is not None:
            self._received(self, whole)

    def _flush(self) -> None:
        try:
            chunks = self._engine.data_to_send()
        except exceptions.WebSocketException:
            self.transport.abortConnection()
            return
        for chunk in chunks:
            if chunk:
                self._tracker.count_written(len(chunk))
                prompt_write.write_promptly(self.transport, chunk)
            else:
                self.transport.loseWriteConnection()


def _awaits_close(engine: ws_protocol.Protocol) -> bool:
    """Tell whether the peer has yet to answer the closing handshake."""
    if engine.close_sent is None or engine.parser_exc is not None:
        return False
    return engine.close_rcvd is None
