"""A request that the owner has queued or sent."""

import dataclasses

from medlarquay import ids, messages
from medlarquay.tasks import waiting_attempt

__all__ = ('OwnerJob',)


@dataclasses.dataclass(slots=True, kw_only=True)
class OwnerJob:
    """A request that the owner has queued or sent.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange with the backend server.
    request : CallRequest
        Request of the first attempt.
    fingerprint : Fingerprint
        Fingerprint of the request.
    key : RequestKey or None
        Key of the request in the ledger; None if it has none.
    attempts : list of WaitingAttempt
        Attempts that wait for the result; empty when all were cancelled or
        timed out.
    sent : bool
        Whether it was passed to the backend task.
    arrived_at, sent_at : float
        Times of arrival at the owner and of sending to the backend task,
        seconds on the monotonic clock; ``sent_at`` is 0 before.
    recorded : bool
        Whether a call record of its outcome was written.
    """

    exchange: ids.ExchangeId
    request: messages.CallRequest
    fingerprint: ids.Fingerprint
    key: ids.RequestKey | None = None
    attempts: list[waiting_attempt.WaitingAttempt] = dataclasses.field(
        default_factory=list,
    )
    sent: bool = False
    arrived_at: float = 0
    sent_at: float = 0
    recorded: bool = False

    @property
    def remote_attempts(self) -> int:
        """Number of attempts that are answered over a call link."""
        return sum(bool(attempt.link) for attempt in self.attempts)
