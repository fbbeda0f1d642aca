"""A request that the owner has queued or sent."""

import dataclasses

from medlarquay import ids, messages
from medlarquay.tasks import waiting_caller

__all__ = ('OwnerJob',)


@dataclasses.dataclass(slots=True, kw_only=True)
class OwnerJob:
    """A request that the owner has queued or sent.

    Attributes
    ----------
    exchange : ExchangeId
        Number of the exchange at the owner.
    request : CallRequest
        Request of the first attempt.
    fingerprint : Fingerprint
        Fingerprint of the request.
    key : RequestKey or None
        Key in the ledger.
    callers : list of WaitingCaller
        Attempts that wait; empty when all have gone.
    sent : bool
        Whether it was given to the backend task.
    arrived_at, sent_at : float
        Arrival at the owner and sending to the backend server, seconds on
        the monotonic clock.
    recorded : bool
        Whether a call record of its outcome was written.
    """

    exchange: ids.ExchangeId
    request: messages.CallRequest
    fingerprint: ids.Fingerprint
    key: ids.RequestKey | None = None
    callers: list[waiting_caller.WaitingCaller] = dataclasses.field(
        default_factory=list,
    )
    sent: bool = False
    arrived_at: float = 0
    sent_at: float = 0
    recorded: bool = False
