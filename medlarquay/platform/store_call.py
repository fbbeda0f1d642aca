"""Pending call to the platform's store."""

import dataclasses

from twisted.internet import defer, interfaces

from medlarquay import events, transport

__all__ = ('StoreCall',)


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreCall:
    """Pending call to the platform's store.

    Attributes
    ----------
    connection : BackendConnection
        Connection on which the answer arrives.
    ended : Deferred
        Fires with the answer, or fails with a ``SourceError``.
    idle_deadline : float
        Time at which the call fails unless bytes have arrived since the
        last check, in seconds on a clock that leaves out the pauses of this
        process.
    final_deadline : float
        Time at which the call fails even if its answer is still arriving,
        in seconds on the same clock.
    seen_bytes : int
        Bytes that the connection had received at the last check.
    timer : IDelayedCall or None
        Timer of the next check.
    """

    connection: transport.BackendConnection
    ended: defer.Deferred[events.BackendAnswered | events.BackendFailed]
    idle_deadline: float
    final_deadline: float
    seen_bytes: int = 0
    timer: interfaces.IDelayedCall | None = None

    def check_progress(self) -> bool:
        """Return whether bytes have arrived since the last check."""
        received = self.connection.received_bytes
        has_progressed = received > self.seen_bytes
        self.seen_bytes = received
        return has_progressed
