"""The task that owns the call links to and from other nodes."""

import functools
import math
from collections.abc import Callable

from twisted.internet import endpoints, interfaces

from medlarquay import (
    codec,
    errors,
    events,
    ids,
    messages,
    states,
    telemetry,
    transport,
)
from medlarquay.tasks import (
    alarm,
    answer_delivery,
    leaving_calls,
    link_closing,
    link_writer,
    outgoing_link,
    task,
)

__all__ = ('CALL_PATH', 'PeerLinks')

#: Path of the handshake of call links.
CALL_PATH = '/calls'
_CONNECT_TIMEOUT_S = 1
# How often links with calls are checked for silence.
_CHECK_S = 0.5

_Result = messages.CallAnswered | messages.CallRefused | messages.CallUnknown
_Target = events.SendCall | events.SendNotice | events.OpenLink


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
    counters : Counters
        Counts dropped messages; its histograms measure the way of results.
    running : callable, optional
        Returns seconds without the pauses of the process, which measure
        silence; the clock if left out.
    link_bytes_per_s : float
        What the link of the machine carries; infinite if unknown. Decides
        which frames are large.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTCP,
        hello: messages.Hello,
        clock: Callable[[], float],
        counters: telemetry.Counters,
        running: Callable[[], float] | None = None,
        link_bytes_per_s: float = math.inf,
    ) -> None:
        super().__init__(name='links')
        self.router: task.Task | None = None
        self.owner: task.Task | None = None
        self.outgoing: dict[ids.InstanceId, outgoing_link.OutgoingLink] = {}
        self.incoming: dict[ids.LinkId, transport.Link] = {}
        self._numbers: dict[transport.Link, ids.LinkId] = {}
        # Nodes at the other ends of the incoming links, for logs.
        self._ingresses: dict[ids.LinkId, ids.InstanceId] = {}
        self._reactor = reactor
        self._hello = hello
        self._clock = clock
        self._running = running or clock
        self._counters = counters
        self.writer = link_writer.LinkWriter(
            clock=clock,
            link_bytes_per_s=link_bytes_per_s,
        )
        self.leaving = leaving_calls.LeavingCalls()
        self.closing = link_closing.LinkClosing(writer=self.writer)
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def accept(self, link: transport.Link) -> None:
        """Take over an incoming link; tell the ingress which run this is."""
        number = self.writer.add(link)
        self.incoming[number] = link
        self._numbers[link] = number
        self.writer.send(number, self._hello)
        if self.closing.started:
            link.finish()

    def receive_frame(self, link: transport.Link, frame: bytes) -> None:
        """Decode a frame of an incoming link and pass it to the owner."""
        number = self._numbers.get(link)
        message = self._decode(link, frame)
        if number is None or self.owner is None or self.closing.started:
            # The other side takes the close of the link as proof that what
            # crossed it was not run.
            return
        if isinstance(message, messages.CallRequest):
            self.owner.post(events.RunCall(link=number, request=message))
        elif isinstance(message, messages.CallCancel):
            self.writer.withdraw(number, message.call_id)
            self.owner.post(
                events.CancelCall(link=number, call_id=message.call_id),
            )
        elif isinstance(
            message,
            (messages.CrashSuspected, messages.SuspicionCleared),
        ):
            self.owner.post(message)
        elif isinstance(message, messages.Hello):
            self._ingresses[number] = message.instance

    def close_incoming(self, link: transport.Link) -> None:
        """Forget an incoming link and tell the owner."""
        number = self._numbers.pop(link, None)
        if number is None:
            return
        self.incoming.pop(number, None)
        self._ingresses.pop(number, None)
        self.writer.forget(number)
        if self.owner is not None:
            self.owner.post(events.LinkClosed(link=number))
        self.closing.forget(number)

    def reply(self, reply: events.SendReply) -> None:
        """Send a result back and record when it has left."""
        delivery = answer_delivery.AnswerDelivery(
            request_id=reply.request_id,
            ingress=self._ingresses.get(reply.link, ids.InstanceId('')),
            sent_at=self._clock(),
            clock=self._clock,
            histograms=self._counters.histograms,
        )
        self.writer.send_call(
            reply.link,
            reply.message,
            urgency=reply.urgency,
            left=delivery.finish,
        )

    def link_to(
        self,
        target: _Target,
    ) -> outgoing_link.OutgoingLink:
        """Return the link to an owner; open it if there is none."""
        found = self.outgoing.get(target.instance)
        return self._connect(target) if found is None else found

    def write_call(
        self,
        outgoing: outgoing_link.OutgoingLink,
        call: events.SendCall,
    ) -> None:
        """Send a call on an open link, unless its deadline has passed."""
        now = self._clock()
        if call.request.deadline <= now:
            # The call waited for the link, or the process was paused.
            self.refuse(call, states.RefusalReason.DEADLINE_PASSED)
        elif outgoing.link is not None:
            self.leaving.add(outgoing.number, call)
            waits = self.writer.send_call(
                outgoing.number,
                call.request,
                urgency=call.urgency,
            )
            if not waits:
                self.note_sent(outgoing.number, call.request.call_id)

    def note_sent(self, number: ids.LinkId, call_id: ids.CallId) -> None:
        """Note that the last byte of a call was written."""
        call = self.leaving.find(number, call_id)
        outgoing = None if call is None else self.outgoing.get(call.instance)
        # Nothing is written on a link that was given up; its loss reports
        # the call.
        if outgoing is not None and outgoing.number == number:
            self.leaving.pop(number, call_id)
            outgoing.sent[call_id] = self._running()
            self._alarm.wake_at(self._clock() + _CHECK_S)

    def refuse(
        self,
        call: events.SendCall,
        reason: states.RefusalReason,
    ) -> None:
        """Tell the router that a call was not sent."""
        if self.router is not None:
            self.router.post(
                messages.CallRefused(
                    call_id=call.request.call_id,
                    reason=reason,
                ),
            )

    def abort_if_silent(self, outgoing: outgoing_link.OutgoingLink) -> None:
        """Close a link that is cut off.

        Later calls then fail before they are sent, which proves that they
        were not run.
        """
        link = outgoing.opening
        # An attempt to connect ends by its own timeout.
        connected = link is not None and link.transport is not None
        if link is None or not connected:
            return
        if not outgoing.is_cut_off(self._running()):
            return
        self._log.warning(
            'closed the silent link to instance {}',
            outgoing.instance,
        )
        # Later calls open a new link instead of waiting for this one.
        self.outgoing.pop(outgoing.instance, None)
        self.writer.forget(outgoing.number)
        link.abort()

    def probe_links(self) -> None:
        """Probe silent links with calls; close those never greeted."""
        waiting = [
            found
            for found in self.outgoing.values()
            if found.sent or found.link is None
        ]
        for outgoing in waiting:
            if outgoing.link is None:
                self.abort_if_silent(outgoing)
            else:
                outgoing.probe_if_silent(self._running())
        if waiting:
            self._alarm.wake_at(self._clock() + _CHECK_S)

    def _connect(
        self,
        call: _Target,
    ) -> outgoing_link.OutgoingLink:
        outgoing = outgoing_link.OutgoingLink(
            instance=call.instance,
            heard_at=self._running(),
        )
        self.outgoing[call.instance] = outgoing
        link = transport.Link.connecting(
            path=CALL_PATH,
            # Calls wait for the greeting of the other side, which follows
            # at once: an address may by now belong to another instance.
            opened=lambda opened: self.writer.send(
                outgoing.number,
                self._hello,
            ),
            received=functools.partial(self._answered, outgoing),
            closed=functools.partial(self._lost, outgoing),
            heard=lambda heard: outgoing.note_heard(self._running()),
        )
        outgoing.opening = link
        self._alarm.wake_at(self._clock() + _CHECK_S)
        outgoing.number = self.writer.add(link)
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor,
            call.host,
            call.port,
            timeout=_CONNECT_TIMEOUT_S,
        )
        connecting = endpoints.connectProtocol(endpoint, link)
        connecting.addErrback(lambda failure: self._lost(outgoing, link))
        return outgoing

    def _greeted(
        self,
        outgoing: outgoing_link.OutgoingLink,
        link: transport.Link,
        message: messages.Hello,
    ) -> None:
        if message.instance != outgoing.instance:
            self._log.warning(
                'closed the link to instance {}; instance {} answered',
                outgoing.instance,
                message.instance,
            )
            link.abort()
            return
        if self.router is not None:
            self.router.post(
                events.PeerGreeted(
                    instance=message.instance,
                    incarnation=message.incarnation,
                ),
            )
        outgoing.link = link
        waiting = outgoing.waiting
        outgoing.waiting = []
        for notice in outgoing.notices:
            self.writer.send(outgoing.number, notice)
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
        if isinstance(message, messages.Hello):
            self._greeted(outgoing, link, message)
        elif isinstance(message, messages.Draining):
            self.router.post(messages.Draining(instance=outgoing.instance))
        elif isinstance(message, _Result):
            self._take_result(outgoing, message)

    def _take_result(
        self,
        outgoing: outgoing_link.OutgoingLink,
        message: _Result,
    ) -> None:
        # A result of a call that this link does not wait for is dropped
        # here, so it can never reach another caller.
        if outgoing.sent.pop(message.call_id, None) is None:
            self._counters.increment(states.DroppedMessage.NO_CALL_ON_LINK)
        elif self.router is not None:
            self.router.post(message)

    def _lost(
        self,
        outgoing: outgoing_link.OutgoingLink,
        link: transport.Link,
    ) -> None:
        if self.outgoing.get(outgoing.instance) is outgoing:
            self.outgoing.pop(outgoing.instance)
        self.writer.forget(outgoing.number)
        if self.router is None:
            return
        # Calls still waiting were never sent, which proves them not run.
        leaving = self.leaving.pop_link(outgoing.number)
        for call in (*outgoing.waiting, *leaving):
            self.refuse(call, states.RefusalReason.OWNER_UNREACHABLE)
        for call_id in outgoing.sent:
            self.router.post(_unanswered(call_id, link))
        outgoing.waiting = []
        outgoing.sent.clear()
        self.router.post(events.PeerLost(instance=outgoing.instance))

    def _decode(self, link: transport.Link, frame: bytes) -> object | None:
        try:
            return codec.decode(frame, now=self._clock(), peer='call link')
        except errors.DecodeError as failure:
            self._log.warning('closed a link: {}', failure)
            link.abort()
            return None


def _unanswered(call_id: ids.CallId, link: transport.Link) -> _Result:
    """Return what the end of a link says of a call sent on it."""
    if link.finished_by_peer:
        # The owner had answered all calls that it took before it closed.
        return messages.CallRefused(
            call_id=call_id,
            reason=states.RefusalReason.DRAINING,
        )
    return messages.CallUnknown(
        call_id=call_id,
        reason=states.RefusalReason.OWNER_LOST,
    )


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
    if outgoing is None or _cancel_unsent(message, outgoing, owner):
        return
    if outgoing.link is None or message.call_id not in outgoing.sent:
        return
    cancel = messages.CallCancel(call_id=message.call_id)
    owner.writer.send(outgoing.number, cancel)
    if message.expired:
        owner.abort_if_silent(outgoing)
    outgoing.sent.pop(message.call_id, None)


def _cancel_unsent(
    message: events.SendCancel,
    outgoing: outgoing_link.OutgoingLink,
    owner: PeerLinks,
) -> bool:
    """Cancel a call that no owner can have run, if it is one."""
    reason = states.RefusalReason.DEADLINE_PASSED
    call = owner.leaving.pop(outgoing.number, message.call_id)
    if call is None:
        reason = states.RefusalReason.OWNER_UNREACHABLE
        call = outgoing.take_waiting(message.call_id)
    else:
        owner.writer.withdraw(outgoing.number, message.call_id)
    if call is not None and message.expired:
        owner.refuse(call, reason)
    return call is not None


@_handle.register
def _tick(message: events.Tick, owner: PeerLinks) -> None:
    owner.probe_links()


@_handle.register
def _open_link(message: events.OpenLink, owner: PeerLinks) -> None:
    owner.link_to(message)


@_handle.register
def _send_reply(message: events.SendReply, owner: PeerLinks) -> None:
    owner.reply(message)


@_handle.register
def _write_fragment(message: events.WriteFragment, owner: PeerLinks) -> None:
    owner.writer.write(message)
    if message.kind is states.FragmentKind.LAST:
        owner.note_sent(message.link, message.call_id)
        owner.closing.go_on(message.link)


@_handle.register
def _dropped(message: events.FrameDropped, owner: PeerLinks) -> None:
    owner.writer.drop(message)
    reason = states.RefusalReason.DEADLINE_PASSED
    if message.link in owner.incoming:
        owner.writer.send_call(
            message.link,
            messages.CallUnknown(call_id=message.call_id, reason=reason),
        )
        owner.closing.go_on(message.link)
        return
    call = owner.leaving.pop(message.link, message.call_id)
    if call is not None:
        owner.refuse(call, reason)


@_handle.register
def _send_notice(message: events.SendNotice, owner: PeerLinks) -> None:
    outgoing = owner.link_to(message)
    if outgoing.link is None:
        outgoing.notices.append(message.message)
    else:
        owner.writer.send(outgoing.number, message.message)


@_handle.register
def _broadcast(message: events.BroadcastReply, owner: PeerLinks) -> None:
    for number in tuple(owner.incoming):
        owner.writer.send(number, message.message)


@_handle.register
def _drain(message: events.DrainRequested, owner: PeerLinks) -> None:
    """Keep the links: calls under way need them for their answers."""


@_handle.register
def _changed(message: events.LifecycleChanged, owner: PeerLinks) -> None:
    if message.state is states.NodeState.FLUSHING:
        owner.closing.start(owner.incoming)
