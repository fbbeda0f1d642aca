"""The task that routes the requests of callers at the ingress."""

from medlarquay import events, states
from medlarquay.tasks import router_answers, router_base, router_handle

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
        self.calls.owed = None
        if isinstance(message, events.RequestReceived):
            self.calls.owed = message
        try:
            router_handle.handle(message, self)
        except Exception:
            self._answer_owed()
            raise
        self.finish_drain()

    def _answer_owed(self) -> None:
        """Answer the request whose message could not be handled."""
        owed = self.calls.owed
        if owed is not None:
            self.calls.finish_caller(owed.caller)
            router_answers.refuse_request(
                owed,
                states.RefusalReason.INTERNAL_ERROR,
                self,
            )
