"""The task that routes the requests of callers at the ingress."""

from medlarquay.tasks import router_base, router_handle

__all__ = ('Router',)


class Router(router_base.RouterBase):
    """Owns the calls under way at the ingress and the snapshot in use.

    Notes
    -----
    The package ``routing`` decides. This task turns messages into its events
    and carries out its results.
    """

    def receive(self, message: object) -> None:
        """Handle one message."""
        router_handle.handle(message, self)
        self.finish_drain()
