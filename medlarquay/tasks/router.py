"""The task that routes the requests of callers at the ingress."""

import functools
from collections.abc import Callable

from medlarquay import events, ids, messages, snapshots, states
from medlarquay.tasks import answers, ingress_call, task

__all__ = ('Router',)

_MS_PER_SECOND = 1000


class Router(task.Task):
    """Owns the calls under way at the ingress and the snapshot in use.

    Parameters
    ----------
    instance : InstanceId
        Instance of this node.
    links, owner : Task
        Take calls for other nodes and for the local backend server.
    clock : callable
        Returns seconds on the monotonic clock.
    """

    def __init__(
        self,
        *,
        instance: ids.InstanceId,
        links: task.Task,
        owner: task.Task,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(name='router')
        self.listener: task.Task | None = None
        self.lifecycle: task.Task | None = None
        self.snapshot: snapshots.Snapshot | None = None
        self.calls: dict[ids.CallId, ingress_call.IngressCall] = {}
        self.by_caller: dict[ids.CallerId, ids.CallId] = {}
        self.instance = instance
        self.links = links
        self.owner = owner
        self.clock = clock
        self._last = 0

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def next_call(self) -> ids.CallId:
        """Return a new call number."""
        self._last += 1
        return ids.CallId(self._last)

    def finish(self, call_id: ids.CallId) -> ids.CallerId | None:
        """Forget a call; return its caller if it still waits."""
        call = self.calls.pop(call_id, None)
        if call is None:
            return None
        self.by_caller.pop(call.caller, None)
        return call.caller

    def refuse(
        self,
        caller: ids.CallerId,
        reason: states.RefusalReason,
    ) -> None:
        """Tell a caller that its request was not run."""
        self.answer(answers.refusal(caller=caller, reason=reason))

    def answer(self, message: events.AnswerReady) -> None:
        """Give the listener an answer."""
        if self.listener is not None:
            self.listener.post(message)


@functools.singledispatch
def _handle(message: object, router: Router) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _replaced(message: events.SnapshotReplaced, router: Router) -> None:
    router.snapshot = message.snapshot


@_handle.register
def _rejected(message: events.RequestRejected, router: Router) -> None:
    router.refuse(message.caller, message.reason)


@_handle.register
def _received(message: events.RequestReceived, router: Router) -> None:
    if router.snapshot is None:
        router.refuse(message.caller, states.RefusalReason.NO_CONFIGURATION)
        return
    host = dict(message.headers).get(b'host', b'').partition(b':')[0]
    route = snapshots.match_route(
        router.snapshot,
        host=host,
        target=message.target,
    )
    if route is None:
        router.refuse(message.caller, states.RefusalReason.NO_ROUTE)
    elif route.service.backends:
        _forward(message, route, router)
    else:
        router.refuse(message.caller, states.RefusalReason.NO_BACKEND)


def _forward(
    message: events.RequestReceived,
    route: snapshots.Route,
    router: Router,
) -> None:
    backends = route.service.backends
    call_id = router.next_call()
    backend = backends[call_id % len(backends)]
    router.calls[call_id] = ingress_call.IngressCall(
        caller=message.caller,
        instance=backend.instance,
    )
    router.by_caller[message.caller] = call_id
    request = messages.CallRequest(
        call_id=call_id,
        team=route.service.team,
        service=route.service.parameters.name,
        method=message.method,
        target=message.target,
        headers=answers.forwarded_headers(message.headers),
        body=message.body,
        rank=route.parameters.rank,
        idempotent=message.method in route.idempotent_methods,
        deadline=router.clock() + route.parameters.timeout_ms / _MS_PER_SECOND,
    )
    if backend.instance == router.instance:
        router.owner.post(events.RunCall(link=ids.LinkId(0), request=request))
    else:
        router.links.post(
            events.SendCall(
                instance=backend.instance,
                host=backend.host,
                port=backend.peer_port,
                request=request,
            ),
        )


@_handle.register
def _gone(message: events.CallerGone, router: Router) -> None:
    call_id = router.by_caller.pop(message.caller, None)
    if call_id is None:
        return
    call = router.calls.pop(call_id)
    if call.instance == router.instance:
        router.owner.post(
            events.CancelCall(link=ids.LinkId(0), call_id=call_id),
        )
    else:
        router.links.post(
            events.SendCancel(instance=call.instance, call_id=call_id),
        )


@_handle.register
def _answered(message: messages.CallAnswered, router: Router) -> None:
    caller = router.finish(message.call_id)
    if caller is not None:
        router.answer(answers.answer(caller=caller, message=message))


@_handle.register
def _refused(message: messages.CallRefused, router: Router) -> None:
    caller = router.finish(message.call_id)
    if caller is not None:
        router.refuse(caller, message.reason)


@_handle.register
def _unknown(message: messages.CallUnknown, router: Router) -> None:
    caller = router.finish(message.call_id)
    if caller is not None:
        router.answer(answers.unknown(caller=caller, reason=message.reason))
