"""State of the call links task, and sending on the links."""

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

#: Path of the WebSocket handshake of call links.
CALL_PATH = '/calls'
_CONNECT_TIMEOUT_S = 1
# Interval of the liveness checks of links with calls.
_CHECK_S = 0.2

_Result = messages.CallAnswered | messages.CallRefused | messages.CallUnknown
_Destination = events.SendCall | events.SendNotice | events.OpenLink


class PeerLinksBase(task.Task):
    """State of the call links task, and sending on the links.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens connections.
    hello : Hello
        First message on each link; identifies this node.
    clock : callable
        Returns seconds on the monotonic clock.
    counters : Counters
        Counts dropped messages; its histograms measure the delivery of results.
    running_clock : callable, optional
        Returns seconds for which the process has run, without its pauses;
        used to detect peers that do not answer. The clock if left out.
    link_bytes_per_s : float
        Capacity of the network link of the machine; infinite if unknown.
        Decides which frames are large.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTCP,
        hello: messages.Hello,
        clock: Callable[[], float],
        counters: telemetry.Counters,
        running_clock: Callable[[], float] | None = None,
        link_bytes_per_s: float = math.inf,
    ) -> None:
        super().__init__(name='links')
        self.router: task.Task | None = None
        self.owner: task.Task | None = None
        self.outgoing: dict[ids.InstanceId, outgoing_link.OutgoingLink] = {}
        self.incoming: dict[ids.LinkId, transport.Link] = {}
        self._numbers: dict[transport.Link, ids.LinkId] = {}
        # Instances at the other ends of the incoming links, for log lines.
        self.ingresses: dict[ids.LinkId, ids.InstanceId] = {}
        self._reactor = reactor
        self._hello = hello
        self._clock = clock
        self._counters = counters
        self.writer = link_writer.LinkWriter(
            clock=clock,
            link_bytes_per_s=link_bytes_per_s,
        )
        self.unsent = unsent_calls.UnsentCalls(writer=self.writer)
        self._silence = silence_watch.SilenceWatch(
            unsent=self.unsent,
            clock=running_clock or clock,
            notify=lambda event: _post(self.router, event),
        )
        self.closing = link_closing.LinkClosing(writer=self.writer)
        self._alarm = alarm.Alarm(reactor=reactor, clock=clock, target=self)

    def accept(self, link: transport.Link) -> None:
        """Add an incoming link and send ``Hello`` with the own incarnation."""
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
            # To the other side, the close of the link proves that calls which
            # it sent meanwhile were not run, so none may be accepted now.
            return
        _handle_incoming(message, self, number)

    def remove_incoming(self, link: transport.Link) -> None:
        """Remove an incoming link that was closed and notify the owner."""
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
        """Send a result to the ingress and measure its delivery time."""
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

    def get_or_connect(
        self,
        target: _Destination,
    ) -> outgoing_link.OutgoingLink:
        """Return the link to an owner; connect to it if there is none."""
        outgoing = self.outgoing.get(target.instance)
        return self._connect(target) if outgoing is None else outgoing

    def write_call(
        self,
        outgoing: outgoing_link.OutgoingLink,
        call: events.SendCall,
    ) -> None:
        """Send a call on an open link, unless its deadline has passed."""
        now = self._clock()
        if call.request.deadline <= now:
            # The deadline passed while the call waited for the link to open,
            # or while the process was paused.
            self.refuse(call, states.RefusalReason.DEADLINE_PASSED)
        elif outgoing.link is not None:
            self.unsent.add(outgoing.number, call, self._silence.now())
            self._alarm.wake_at(now + _CHECK_S)
            if call.offered_first:
                self.unsent.offer(outgoing, call)
            else:
                _write_request(outgoing, call, self)

    def note_sent(self, number: ids.LinkId, call_id: ids.CallId) -> None:
        """Record that the last byte of a call was written."""
        call = self.unsent.find(number, call_id)
        outgoing = None if call is None else self.outgoing.get(call.instance)
        # A link that was aborted, and perhaps replaced, writes nothing; its
        # call is reported when the link closes.
        if outgoing is not None and outgoing.number == number:
            self.unsent.pop(number, call_id)
            outgoing.sent[call_id] = self._silence.now()

    def refuse(
        self,
        call: events.SendCall,
        reason: states.RefusalReason,
    ) -> None:
        """Notify the router that a call was not sent."""
        if self.router is not None:
            self.router.post(
                messages.CallRefused(
                    call_id=call.request.call_id,
                    reason=reason,
                ),
            )

    def abort_if_cut_off(self, outgoing: outgoing_link.OutgoingLink) -> None:
        """Abort a link that is cut off.

        Later calls need a new connection. If that fails, they were not sent,
        which proves that they were not run.
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
        if outgoing.connection is not None:
            outgoing.connection.abort()

    def probe_links(self) -> None:
        """Probe inactive links; abort the cut-off ones that have no calls."""
        to_check = self._silence.links_to_check(self.outgoing.values())
        for outgoing in to_check:
            if not self._silence.has_calls(outgoing):
                # Aborting a link with calls would lose their answers.
                self.abort_if_cut_off(outgoing)
            self._silence.probe(outgoing)
        if to_check:
            self._alarm.wake_at(self._clock() + _CHECK_S)

    def _connect(
        self,
        target: _Destination,
    ) -> outgoing_link.OutgoingLink:
        outgoing = outgoing_link.OutgoingLink(
            instance=target.instance,
            data_arrived_at=self._silence.now(),
        )
        self.outgoing[target.instance] = outgoing
        link = transport.Link.connecting(
            path=CALL_PATH,
            # Calls are held back until the ``Hello`` of the other side, which
            # follows at once, confirms its identity: the address may belong to
            # another instance by now.
            opened=lambda opened_link: self.writer.send(
                outgoing.number,
                self._hello,
            ),
            received=functools.partial(self._handle_outgoing_frame, outgoing),
            closed=functools.partial(self._handle_closed, outgoing),
            data_arrived=lambda arrived_link: self._silence.note_data_arrived(
                outgoing
            ),
        )
        outgoing.connection = link
        self._alarm.wake_at(self._clock() + _CHECK_S)
        outgoing.number = self.writer.add(link)
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor,
            target.host,
            target.port,
            timeout=_CONNECT_TIMEOUT_S,
        )
        connecting = endpoints.connectProtocol(endpoint, link)
        connecting.addErrback(
            lambda failure: self._handle_closed(outgoing, link)
        )
        return outgoing

    def _handle_granted(
        self,
        outgoing: outgoing_link.OutgoingLink,
        message: messages.CallGranted,
    ) -> None:
        call = self.unsent.take_granted(outgoing, message.call_id)
        if call is None:
            return
        if call.request.deadline <= self._clock():
            self.unsent.pop(outgoing.number, message.call_id)
            self.unsent.withdraw(outgoing, call)
            self.refuse(call, states.RefusalReason.DEADLINE_PASSED)
        else:
            _write_request(outgoing, call, self)

    def _handle_hello(
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

    def _handle_outgoing_frame(
        self,
        outgoing: outgoing_link.OutgoingLink,
        link: transport.Link,
        frame: bytes,
    ) -> None:
        message = self._decode(link, frame)
        if self.router is None or message is None:
            return
        if isinstance(message, messages.Hello):
            self._handle_hello(outgoing, link, message)
        elif isinstance(message, messages.Draining):
            self.router.post(messages.Draining(instance=outgoing.instance))
        elif isinstance(message, messages.CallGranted):
            self._handle_granted(outgoing, message)
        elif isinstance(message, _Result):
            self._take_result(outgoing, message)

    def _take_result(
        self,
        outgoing: outgoing_link.OutgoingLink,
        message: _Result,
    ) -> None:
        # A result that matches no open call of this link is dropped here, so
        # that it can never reach another caller.
        sent_at = outgoing.sent.pop(message.call_id, None)
        if sent_at is None and not self.unsent.end_refused(outgoing, message):
            self._counters.increment(states.DroppedMessage.NO_CALL_ON_LINK)
        elif self.router is not None:
            self.router.post(message)

    def _handle_closed(
        self,
        outgoing: outgoing_link.OutgoingLink,
        link: transport.Link,
    ) -> None:
        if self.outgoing.get(outgoing.instance) is outgoing:
            self.outgoing.pop(outgoing.instance)
        self.writer.remove(outgoing.number)
        if self.router is None:
            return
        # Calls that were not sent completely cannot have been run.
        unsent = self.unsent.pop_link(outgoing.number)
        for call in (*outgoing.waiting, *unsent):
            self.refuse(call, states.RefusalReason.OWNER_UNREACHABLE)
        for call_id in outgoing.sent:
            self.router.post(_result_of_closed_link(call_id, link))
        outgoing.waiting = []
        outgoing.offered.clear()
        outgoing.sent.clear()
        self.router.post(events.PeerLost(instance=outgoing.instance))

    def _decode(self, link: transport.Link, frame: bytes) -> object | None:
        try:
            return codec.decode(frame, now=self._clock(), peer='call link')
        except errors.DecodeError as failure:
            self._log.warning('closed a link: {}', failure)
            link.abort()
            return None


def _write_request(
    outgoing: outgoing_link.OutgoingLink,
    call: events.SendCall,
    links: PeerLinksBase,
) -> None:
    is_queued = links.writer.send_call(
        outgoing.number,
        call.request,
        urgency=call.urgency,
    )
    if not is_queued:
        links.note_sent(outgoing.number, call.request.call_id)


def _result_of_closed_link(
    call_id: ids.CallId, link: transport.Link
) -> _Result:
    """Return the result of a call whose link closed before the answer."""
    if link.closed_gracefully_by_peer:
        # A draining owner answers all calls that it accepted before it
        # closes the link, so it did not run this one.
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
def _handle_incoming(
    message: object,
    links: PeerLinksBase,
    number: ids.LinkId,
) -> None:
    """Handle a message of an ingress; other types are ignored."""


@_handle_incoming.register
def _accept_request(
    message: messages.CallRequest,
    links: PeerLinksBase,
    number: ids.LinkId,
) -> None:
    _post(links.owner, events.RunCall(link=number, request=message))


@_handle_incoming.register
def _accept_offer(
    message: messages.CallOffered,
    links: PeerLinksBase,
    number: ids.LinkId,
) -> None:
    _post(links.owner, events.OfferCall(link=number, offer=message))


@_handle_incoming.register
def _accept_cancel(
    message: messages.CallCancel,
    links: PeerLinksBase,
    number: ids.LinkId,
) -> None:
    links.writer.withdraw(number, message.call_id)
    _post(
        links.owner,
        events.CancelCall(link=number, call_id=message.call_id),
    )


@_handle_incoming.register
def _accept_suspicion(
    message: messages.CrashSuspected | messages.SuspicionCleared,
    links: PeerLinksBase,
    number: ids.LinkId,
) -> None:
    _post(links.owner, message)


@_handle_incoming.register
def _accept_hello(
    message: messages.Hello,
    links: PeerLinksBase,
    number: ids.LinkId,
) -> None:
    links.ingresses[number] = message.instance
    _post(
        links.owner,
        events.PeerGreeted(
            instance=message.instance,
            incarnation=message.incarnation,
        ),
    )
