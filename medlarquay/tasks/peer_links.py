"""The task that owns the call links to and from other nodes."""

import functools
from collections.abc import Callable

from twisted.internet import endpoints, interfaces

from medlarquay import codec, errors, events, ids, messages, states, transport
from medlarquay.tasks import outgoing_link, task

__all__ = ('CALL_PATH', 'PeerLinks')

#: Path of the handshake of call links.
CALL_PATH = '/calls'
_CONNECT_TIMEOUT_S = 1


class PeerLinks(task.Task):
    """Owns the call links and matches results to the calls sent.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens connections.
    hello : Hello
        First message on each link.
    clock : callable
        Returns seconds on the monotonic clock.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTCP,
        hello: messages.Hello,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(name='links')
        self.router: task.Task | None = None
        self.owner: task.Task | None = None
        self.outgoing: dict[ids.InstanceId, outgoing_link.OutgoingLink] = {}
        self.incoming: dict[ids.LinkId, transport.Link] = {}
        self._numbers: dict[transport.Link, ids.LinkId] = {}
        self._reactor = reactor
        self._hello = hello
        self._clock = clock
        self._last = 0

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def accept(self, link: transport.Link) -> None:
        """Take over an incoming link after its handshake."""
        self._last += 1
        number = ids.LinkId(self._last)
        self.incoming[number] = link
        self._numbers[link] = number

    def receive_frame(self, link: transport.Link, frame: bytes) -> None:
        """Decode a frame of an incoming link and pass it to the owner."""
        number = self._numbers.get(link)
        message = self._decode(link, frame)
        if number is None or self.owner is None:
            return
        if isinstance(message, messages.CallRequest):
            self.owner.post(events.RunCall(link=number, request=message))
        elif isinstance(message, messages.CallCancel):
            self.owner.post(
                events.CancelCall(link=number, call_id=message.call_id),
            )
        elif isinstance(
            message,
            (messages.CrashSuspected, messages.SuspicionCleared),
        ):
            self.owner.post(message)

    def close_incoming(self, link: transport.Link) -> None:
        """Forget an incoming link and tell the owner."""
        number = self._numbers.pop(link, None)
        if number is None:
            return
        self.incoming.pop(number, None)
        if self.owner is not None:
            self.owner.post(events.LinkClosed(link=number))

    def send(self, link: transport.Link, message: object) -> None:
        """Encode and send one message."""
        link.send(codec.encode(message, now=self._clock()))

    def link_to(
        self,
        target: events.SendCall | events.SendNotice,
    ) -> outgoing_link.OutgoingLink:
        """Return the link to an owner; open it if there is none."""
        found = self.outgoing.get(target.instance)
        return self._connect(target) if found is None else found

    def write_call(
        self,
        outgoing: outgoing_link.OutgoingLink,
        call: events.SendCall,
    ) -> None:
        """Send a call on an open link."""
        if outgoing.link is not None:
            outgoing.sent.add(call.request.call_id)
            self.send(outgoing.link, call.request)

    def _connect(
        self,
        call: events.SendCall | events.SendNotice,
    ) -> outgoing_link.OutgoingLink:
        outgoing = outgoing_link.OutgoingLink(instance=call.instance)
        self.outgoing[call.instance] = outgoing
        link = transport.Link.connecting(
            path=CALL_PATH,
            opened=functools.partial(self._opened, outgoing),
            received=functools.partial(self._answered, outgoing),
            closed=functools.partial(self._lost, outgoing),
        )
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor,
            call.host,
            call.port,
            timeout=_CONNECT_TIMEOUT_S,
        )
        connecting = endpoints.connectProtocol(endpoint, link)
        connecting.addErrback(lambda failure: self._lost(outgoing, link))
        return outgoing

    def _opened(
        self,
        outgoing: outgoing_link.OutgoingLink,
        link: transport.Link,
    ) -> None:
        outgoing.link = link
        self.send(link, self._hello)
        waiting = outgoing.waiting
        outgoing.waiting = []
        for notice in outgoing.notices:
            self.send(link, notice)
        outgoing.notices = []
        for call in waiting:
            self.write_call(outgoing, call)

    def _answered(
        self,
        outgoing: outgoing_link.OutgoingLink,
        link: transport.Link,
        frame: bytes,
    ) -> None:
        message = self._decode(link, frame)
        if self.router is None or message is None:
            return
        if isinstance(message, messages.Draining):
            self.router.post(message)
            return
        call_id = getattr(message, 'call_id', None)
        # An answer to a call that is no longer waited for is dropped here,
        # so it can never reach another caller.
        if call_id in outgoing.sent:
            outgoing.sent.discard(call_id)
            self.router.post(message)

    def _lost(
        self,
        outgoing: outgoing_link.OutgoingLink,
        link: transport.Link,
    ) -> None:
        if self.outgoing.get(outgoing.instance) is outgoing:
            self.outgoing.pop(outgoing.instance)
        if self.router is None:
            return
        for call in outgoing.waiting:
            self.router.post(
                messages.CallRefused(
                    call_id=call.request.call_id,
                    reason=states.RefusalReason.OWNER_UNREACHABLE,
                ),
            )
        for call_id in sorted(outgoing.sent):
            self.router.post(
                messages.CallUnknown(
                    call_id=call_id,
                    reason=states.RefusalReason.OWNER_LOST,
                ),
            )
        outgoing.waiting = []
        outgoing.sent.clear()

    def _decode(self, link: transport.Link, frame: bytes) -> object | None:
        try:
            return codec.decode(frame, now=self._clock(), peer='call link')
        except errors.DecodeError as failure:
            self._log.warning('closed a link: {}', failure)
            link.abort()
            return None


@functools.singledispatch
def _handle(message: object, owner: PeerLinks) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _send_call(message: events.SendCall, owner: PeerLinks) -> None:
    outgoing = owner.link_to(message)
    if outgoing.link is None:
        outgoing.waiting.append(message)
    else:
        owner.write_call(outgoing, message)


@_handle.register
def _send_cancel(message: events.SendCancel, owner: PeerLinks) -> None:
    outgoing = owner.outgoing.get(message.instance)
    if outgoing is None:
        return
    outgoing.waiting = [
        call
        for call in outgoing.waiting
        if call.request.call_id != message.call_id
    ]
    if outgoing.link is not None and message.call_id in outgoing.sent:
        outgoing.sent.discard(message.call_id)
        owner.send(
            outgoing.link,
            messages.CallCancel(call_id=message.call_id),
        )


@_handle.register
def _send_reply(message: events.SendReply, owner: PeerLinks) -> None:
    link = owner.incoming.get(message.link)
    if link is not None:
        owner.send(link, message.message)


@_handle.register
def _send_notice(message: events.SendNotice, owner: PeerLinks) -> None:
    outgoing = owner.link_to(message)
    if outgoing.link is None:
        outgoing.notices.append(message.message)
    else:
        owner.send(outgoing.link, message.message)


@_handle.register
def _broadcast(message: events.BroadcastReply, owner: PeerLinks) -> None:
    for link in owner.incoming.values():
        owner.send(link, message.message)
