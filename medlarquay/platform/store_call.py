"""A call to the platform's store that waits for its answer."""

import dataclasses

from twisted.internet import defer, interfaces

from medlarquay import events, transport

__all__ = ('StoreCall',)


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreCall:
    """A call to the platform's store that waits for its answer.

    Attributes
    ----------
    connection : BackendConnection
        Connection on which the answer arrives.
    ended : Deferred
        Fires with the answer, or fails.
    silent_at : float
        Time at which the call fails unless bytes have arrived, seconds on a
        clock that leaves out the pauses of this process.
    fails_at : float
        Time at which the call fails although its answer still arrives, on
        the same clock.
    seen_bytes : int
        Bytes that the connection had received at the last check.
    timer : IDelayedCall or None
        The next check.
    """

    connection: transport.BackendConnection
    ended: defer.Deferred[events.BackendAnswered | events.BackendFailed]
    silent_at: float
    fails_at: float
    seen_bytes: int = 0
    timer: interfaces.IDelayedCall | None = None

    def progressed(self) -> bool:
        """Return whether bytes have arrived since the last call of this."""
        received = self.connection.received_bytes
        progressed = received > self.seen_bytes
        self.seen_bytes = received
        return progressed
