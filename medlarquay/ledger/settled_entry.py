"""A key whose request has ended."""

import dataclasses

from medlarquay import ids, states
from medlarquay.ledger import recorded_answer

__all__ = ('SettledEntry',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettledEntry:
    """A key whose request has ended.

    Attributes
    ----------
    fingerprint : Fingerprint
        Fingerprint of the request.
    deadline : float
        Until when it is kept, seconds on the monotonic clock.
    answer : RecordedAnswer or None
        Answer, if it ran and the answer is small.
    loss_reason : RefusalReason or None
        What broke, if the outcome is unknown.
    """

    fingerprint: ids.Fingerprint
    deadline: float
    answer: recorded_answer.RecordedAnswer | None = None
    loss_reason: states.RefusalReason | None = None
