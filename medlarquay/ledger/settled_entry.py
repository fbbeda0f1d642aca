"""Ledger entry of a request that has ended."""

import dataclasses

from medlarquay import ids, states
from medlarquay.ledger import recorded_answer

__all__ = ('SettledEntry',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettledEntry:
    """Ledger entry of a request that has ended.

    Attributes
    ----------
    fingerprint : Fingerprint
        Fingerprint of the request.
    deadline : float
        Time until which the entry is kept, seconds on the monotonic clock.
    answer : RecordedAnswer or None
        Answer of the request; None if it was not kept (see ``bounds``) or the
        outcome is unknown.
    loss_reason : RefusalReason or None
        Why the outcome is unknown; None if it is known.
    """

    fingerprint: ids.Fingerprint
    deadline: float
    answer: recorded_answer.RecordedAnswer | None = None
    loss_reason: states.RefusalReason | None = None
