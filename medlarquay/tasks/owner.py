"""The task that decides what the local backend server runs."""

import functools
from collections.abc import Callable

from medlarquay import events, ids, messages, states
from medlarquay.tasks import peer_links, task

__all__ = ('Owner',)


class Owner(task.Task):
    """Owns the admission state of the local backend server.

    Parameters
    ----------
    links : PeerLinks
        Sends results to ingresses on other nodes.
    clock : callable
        Returns seconds on the monotonic clock.
    """

    def __init__(
        self,
        *,
        links: peer_links.PeerLinks,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(name='owner')
        self.backend: task.Task | None = None
        self.router: task.Task | None = None
        self.lifecycle: task.Task | None = None
        self.running: dict[ids.ExchangeId, events.RunCall] = {}
        self.clock = clock
        self._links = links
        self._last = 0

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def next_exchange(self) -> ids.ExchangeId:
        """Return a new number for an exchange."""
        self._last += 1
        return ids.ExchangeId(self._last)

    def reply(
        self,
        link: ids.LinkId,
        message: messages.CallAnswered
        | messages.CallRefused
        | messages.CallUnknown,
    ) -> None:
        """Send a result to the ingress of a call."""
        if link:
            self._links.post(events.SendReply(link=link, message=message))
        elif self.router is not None:
            self.router.post(message)


@functools.singledispatch
def _handle(message: object, owner: Owner) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _run(message: events.RunCall, owner: Owner) -> None:
    request = message.request
    if request.deadline <= owner.clock():
        owner.reply(
            message.link,
            messages.CallRefused(
                call_id=request.call_id,
                reason=states.RefusalReason.DEADLINE_PASSED,
            ),
        )
        return
    exchange = owner.next_exchange()
    owner.running[exchange] = message
    if owner.backend is not None:
        owner.backend.post(
            events.StartRequest(
                exchange=exchange,
                method=request.method,
                target=request.target,
                headers=request.headers,
                body=request.body,
                deadline=request.deadline,
            ),
        )


@_handle.register
def _answered(message: events.BackendAnswered, owner: Owner) -> None:
    call = owner.running.pop(message.exchange, None)
    if call is None:
        return
    owner.reply(
        call.link,
        messages.CallAnswered(
            call_id=call.request.call_id,
            status=message.status,
            headers=message.headers,
            body=message.body,
        ),
    )


@_handle.register
def _failed(message: events.BackendFailed, owner: Owner) -> None:
    call = owner.running.pop(message.exchange, None)
    if call is None:
        return
    call_id = call.request.call_id
    if message.sent:
        owner.reply(
            call.link,
            messages.CallUnknown(
                call_id=call_id,
                reason=states.RefusalReason.BACKEND_LOST,
            ),
        )
    else:
        owner.reply(
            call.link,
            messages.CallRefused(
                call_id=call_id,
                reason=states.RefusalReason.BACKEND_DOWN,
            ),
        )


@_handle.register
def _cancel(message: events.CancelCall, owner: Owner) -> None:
    exchange = _find_exchange(message, owner)
    if exchange is None:
        return
    owner.running.pop(exchange)
    if owner.backend is not None:
        owner.backend.post(events.AbortRequest(exchange=exchange))


def _find_exchange(
    message: events.CancelCall,
    owner: Owner,
) -> ids.ExchangeId | None:
    wanted = (message.link, message.call_id)
    for exchange, call in owner.running.items():
        if (call.link, call.request.call_id) == wanted:
            return exchange
    return None


@_handle.register
def _link_closed(message: events.LinkClosed, owner: Owner) -> None:
    """Leave running requests alone: their caller may ask again by key."""


@_handle.register
def _replaced(message: events.SnapshotReplaced, owner: Owner) -> None:
    """Ignore the configuration: admission has no settings yet."""
