"""Handlers of the messages of the call links task."""

import functools

from medlarquay import events, messages, states
from medlarquay.tasks import outgoing_link, peer_links_base

__all__ = ('handle',)


@functools.singledispatch
def handle(message: object, links: peer_links_base.PeerLinksBase) -> None:
    """Handle one message of the call links task.

    Raises
    ------
    TypeError
        If the type of the message is unknown.
    """
    raise TypeError(f'unexpected message {type(message).__name__}')


@handle.register
def _send_call(
    message: events.SendCall, links: peer_links_base.PeerLinksBase
) -> None:
    outgoing = links.get_or_connect(message)
    if outgoing.link is None:
        outgoing.waiting.append(message)
    else:
        links.write_call(outgoing, message)


@handle.register
def _send_cancel(
    message: events.SendCancel, links: peer_links_base.PeerLinksBase
) -> None:
    outgoing = links.outgoing.get(message.instance)
    if outgoing is None or _cancel_unsent(message, outgoing, links):
        return
    if outgoing.link is None or message.call_id not in outgoing.sent:
        return
    cancel = messages.CallCancel(call_id=message.call_id)
    links.writer.send(outgoing.number, cancel)
    if message.expired:
        links.abort_if_cut_off(outgoing)
    outgoing.sent.pop(message.call_id, None)


def _cancel_unsent(
    message: events.SendCancel,
    outgoing: outgoing_link.OutgoingLink,
    links: peer_links_base.PeerLinksBase,
) -> bool:
    """Cancel a call that was not sent completely, so that no owner ran it.

    Returns
    -------
    bool
        Whether the call was one of these.
    """
    reason = states.RefusalReason.DEADLINE_PASSED
    call = links.unsent.pop(outgoing.number, message.call_id)
    if call is None:
        reason = states.RefusalReason.OWNER_UNREACHABLE
        call = outgoing.pop_waiting(message.call_id)
    else:
        links.unsent.withdraw(outgoing, call)
    if call is not None and message.expired:
        links.refuse(call, reason)
        links.abort_if_cut_off(outgoing)
    return call is not None


@handle.register
def _tick(message: events.Tick, links: peer_links_base.PeerLinksBase) -> None:
    links.probe_links()


@handle.register
def _open_link(
    message: events.OpenLink, links: peer_links_base.PeerLinksBase
) -> None:
    links.get_or_connect(message)


@handle.register
def _send_reply(
    message: events.SendReply, links: peer_links_base.PeerLinksBase
) -> None:
    links.reply(message)


@handle.register
def _send_grant(
    message: events.SendGrant, links: peer_links_base.PeerLinksBase
) -> None:
    granted = messages.CallGranted(call_id=message.call_id)
    links.writer.send(message.link, granted)


@handle.register
def _write_fragment(
    message: events.WriteFragment, links: peer_links_base.PeerLinksBase
) -> None:
    links.writer.write(message)
    if message.kind is states.FragmentKind.LAST:
        links.note_sent(message.link, message.call_id)
        links.closing.close_if_sent(message.link)


@handle.register
def _dropped(
    message: events.FrameDropped, links: peer_links_base.PeerLinksBase
) -> None:
    links.writer.drop(message)
    reason = states.RefusalReason.DEADLINE_PASSED
    if message.link in links.incoming:
        links.writer.send_call(
            message.link,
            messages.CallUnknown(call_id=message.call_id, reason=reason),
        )
        links.closing.close_if_sent(message.link)
        return
    call = links.unsent.pop(message.link, message.call_id)
    if call is None:
        return
    outgoing = links.outgoing.get(call.instance)
    if outgoing is not None and outgoing.number == message.link:
        links.unsent.withdraw(outgoing, call)
    links.refuse(call, reason)


@handle.register
def _send_notice(
    message: events.SendNotice, links: peer_links_base.PeerLinksBase
) -> None:
    outgoing = links.get_or_connect(message)
    if outgoing.link is None:
        outgoing.notices.append(message.message)
    else:
        links.writer.send(outgoing.number, message.message)


@handle.register
def _broadcast(
    message: events.BroadcastReply, links: peer_links_base.PeerLinksBase
) -> None:
    for number in tuple(links.incoming):
        links.writer.send(number, message.message)


@handle.register
def _drain(
    message: events.DrainRequested, links: peer_links_base.PeerLinksBase
) -> None:
    """Keep the links open: calls in flight need them for their answers."""


@handle.register
def _changed(
    message: events.LifecycleChanged, links: peer_links_base.PeerLinksBase
) -> None:
    if message.state is states.NodeState.FLUSHING:
        links.closing.start(links.incoming)
