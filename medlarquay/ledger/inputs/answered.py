"""The request of a key has run and was answered."""

import dataclasses

from medlarquay import ids
from medlarquay.ledger import recorded_answer

__all__ = ('Answered',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """The request of a key has run and was answered.

    Attributes
    ----------
    key : RequestKey
        Key of the request.
    answer : RecordedAnswer
        Whole answer; recorded only if it fits the bounds.
    """

    key: ids.RequestKey
    answer: recorded_answer.RecordedAnswer
