"""State of the task of call links and what it sends."""

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
    link_closing,
    link_writer,
    outgoing_link,
    silence_watch,
    task,
    unsent_calls,
)

__all__ = ('CALL_PATH', 'PeerLinksBase')

#: Path of the handshake of call links.
CALL_PATH = '/calls'
_CONNECT_TIMEOUT_S = 1
# How often links with calls are checked for silence.
_CHECK_S = 0.2

_Result = messages.CallAnswered | messages.CallRefused | messages.CallUnknown
_Target = events.SendCall | events.SendNotice | events.OpenLink


class PeerLinksBase(task.Task):
    """State of the task of call links and what it sends.

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
        self.ingresses: dict[ids.LinkId, ids.InstanceId] = {}
        self._reactor = reactor
        self._hello = hello
        self._clock = clock
        self._counters = counters
        self.writer = link_writer.LinkWriter(
            clock=clock,
            link_bytes_per_s=link_bytes_per_s,
        )
        self.leaving = unsent_calls.UnsentCalls()
        self._silence = silence_watch.SilenceWatch(
            leaving=self.leaving,
            clock=running or clock,
            tell=lambda sign: _post(self.router, sign),
        )
        self.closing = link_closing.LinkClosing(writer=self.writer)
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)

    def accept(self, link: transport.Link) -> None:
        """Take over an incoming link; tell the ingress which run this is."""
        number = self.writer.add(link)
        self.incoming[number] = link
        self._numbers[link] = number
        self.writer.send(number, self._hello)
        if self.closing.started:
            link.close_gracefully()

    def receive_frame(self, link: transport.Link, frame: bytes) -> None:
        """Decode a frame of an incoming link and pass it to the owner."""
        number = self._numbers.get(link)
        message = self._decode(link, frame)
        if number is None or self.closing.started:
            # The other side takes the close of the link as proof that what
            # crossed it was not run.
            return
        _take_frame(message, self, number)

    def close_incoming(self, link: transport.Link) -> None:
        """Forget an incoming link and tell the owner."""
        number = self._numbers.pop(link, None)
        if number is None:
            return
        self.incoming.pop(number, None)
        self.ingresses.pop(number, None)
        self.writer.remove(number)
        if self.owner is not None:
            self.owner.post(events.LinkClosed(link=number))
        self.closing.forget(number)

    def reply(self, reply: events.SendReply) -> None:
        """Send a result back and record when it has left."""
        delivery = answer_delivery.AnswerDelivery(
            request_id=reply.request_id,
            ingress=self.ingresses.get(reply.link, ids.InstanceId('')),
            sent_at=self._clock(),
            clock=self._clock,
            histograms=self._counters.histograms,
        )
        self.writer.send_call(
            reply.link,
            reply.message,
            urgency=reply.urgency,
            on_sent=delivery.finish,
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
            self.leaving.add(outgoing.number, call, self._silence.now())
            self._alarm.wake_at(now + _CHECK_S)
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
            outgoing.sent[call_id] = self._silence.now()

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
        if not self._silence.is_cut_off(outgoing):
            return
        self._log.warning(
            'closed the silent link to instance {}',
            outgoing.instance,
        )
        # Later calls open a new link instead of waiting for this one.
        self.outgoing.pop(outgoing.instance, None)
        self.writer.remove(outgoing.number)
        if outgoing.opening is not None:
            outgoing.opening.abort()

    def probe_links(self) -> None:
        """Probe silent links with calls; close those that lead nowhere."""
        waiting = self._silence.watched(self.outgoing.values())
        for outgoing in waiting:
            if not self._silence.in_use(outgoing):
                # Calls on it would be lost; without any, nothing is.
                self.abort_if_silent(outgoing)
            self._silence.probe(outgoing)
        if waiting:
            self._alarm.wake_at(self._clock() + _CHECK_S)

    def _connect(
        self,
        call: _Target,
    ) -> outgoing_link.OutgoingLink:
        outgoing = outgoing_link.OutgoingLink(
            instance=call.instance,
            heard_at=self._silence.now(),
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
            data_arrived=lambda heard: self._silence.note_heard(outgoing),
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
        self.writer.remove(outgoing.number)
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
    if link.closed_gracefully_by_peer:
        # The owner had answered all calls that it took before it closed.
        return messages.CallRefused(
            call_id=call_id,
            reason=states.RefusalReason.DRAINING,
        )
    return messages.CallUnknown(
        call_id=call_id,
        reason=states.RefusalReason.OWNER_LOST,
    )


def _post(receiver: task.Task | None, message: object) -> None:
    if receiver is not None:
        receiver.post(message)


@functools.singledispatch
def _take_frame(
    message: object,
    links: PeerLinksBase,
    number: ids.LinkId,
) -> None:
    """Take a message of an ingress; others say nothing to an owner."""


@_take_frame.register
def _take_request(
    message: messages.CallRequest,
    links: PeerLinksBase,
    number: ids.LinkId,
) -> None:
    _post(links.owner, events.RunCall(link=number, request=message))


@_take_frame.register
def _take_cancel(
    message: messages.CallCancel,
    links: PeerLinksBase,
    number: ids.LinkId,
) -> None:
    links.writer.withdraw(number, message.call_id)
    _post(
        links.owner,
        events.CancelCall(link=number, call_id=message.call_id),
    )


@_take_frame.register
def _take_suspicion(
    message: messages.CrashSuspected | messages.SuspicionCleared,
    links: PeerLinksBase,
    number: ids.LinkId,
) -> None:
    _post(links.owner, message)


@_take_frame.register
def _take_hello(
    message: messages.Hello,
    links: PeerLinksBase,
    number: ids.LinkId,
) -> None:
    links.ingresses[number] = message.instance
