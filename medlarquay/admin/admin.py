"""Task that serves the admin port."""

import functools

from twisted.internet import interfaces

from medlarquay import events
from medlarquay.admin import lazy_factory, observed_node
from medlarquay.tasks import task

__all__ = ('Admin',)


class Admin(task.Task):
    """Serves the admin port and keeps the data that its pages show.

    Parameters
    ----------
    node : ObservedNode
        Status of the node that the pages show; only this task changes it.

    Notes
    -----
    klein and twisted.web take 8.0 MB of the 64 MB that a node may use, and
    importing them takes about 0.2 s, so they are imported when the first
    operator connects.
    """

    def __init__(self, *, node: observed_node.ObservedNode) -> None:
        super().__init__(name='admin')
        self.node = node

    def listen(
        self,
        reactor: interfaces.IReactorTCP,
        *,
        host: str,
        port: int,
    ) -> interfaces.IListeningPort:
        """Listen for HTTP connections of operators on one address."""
        factory = lazy_factory.LazyFactory(
            build=functools.partial(self._build_site, reactor),
        )
        return reactor.listenTCP(port, factory, interface=host)

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def _build_site(
        self,
        reactor: interfaces.IReactorTime,
    ) -> interfaces.IProtocolFactory:
        from twisted.web import server  # noqa: PLC0415

        from medlarquay.admin import pages  # noqa: PLC0415

        operator_pages = pages.Pages(node=self.node, reactor=reactor)
        return server.Site(operator_pages.app.resource())


@functools.singledispatch
def _handle(message: object, admin: Admin) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _set_snapshot(message: events.SnapshotReplaced, admin: Admin) -> None:
    admin.node.snapshot = message.snapshot


@_handle.register
def _set_rejected(message: events.RejectionsChanged, admin: Admin) -> None:
    admin.node.rejected = message.records


@_handle.register
def _set_confirmed(message: events.FreshnessConfirmed, admin: Admin) -> None:
    admin.node.confirmed_at = message.confirmed_at


@_handle.register
def _set_state(message: events.LifecycleChanged, admin: Admin) -> None:
    admin.node.state = message.state
