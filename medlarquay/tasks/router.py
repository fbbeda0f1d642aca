"""The task that routes the requests of callers at the ingress."""

from medlarquay import events, states
from medlarquay.tasks import router_answers, router_base, router_handle

__all__ = ('Router',)


class Router(router_base.RouterBase):
    """Owns the calls in progress at the ingress and the snapshot in force.

    Notes
    -----
    The package ``routing`` makes the decisions. This task translates messages
    into its events and carries out its decisions.
    """

    def receive(self, message: object) -> None:
        """Handle one message.

        If the handler fails, the request that it has begun or ended is
        refused with an internal error.
        """
        self.calls.pending_request = None
        if isinstance(message, events.RequestReceived):
            self.calls.pending_request = message
        try:
            router_handle.handle(message, self)
        except Exception:
            self._refuse_pending()
            raise
        self.finish_drain()

    def _refuse_pending(self) -> None:
        """Refuse the request that a failed handler left without an answer."""
        pending_request = self.calls.pending_request
        if pending_request is not None:
            self.calls.finish_call_of(pending_request.caller)
            router_answers.refuse_request(
                pending_request,
                states.RefusalReason.INTERNAL_ERROR,
                self,
            )
