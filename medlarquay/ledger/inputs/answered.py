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
        Key.
    answer : RecordedAnswer
        Whole answer; kept if it is small.
    """

    key: ids.RequestKey
    answer: recorded_answer.RecordedAnswer
