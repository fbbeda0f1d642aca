"""Replay the recorded answer of an earlier attempt."""

import dataclasses

from medlarquay.ledger import recorded_answer

__all__ = ('Replay',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Replay:
    """Replay the recorded answer of an earlier attempt.

    Attributes
    ----------
    answer : RecordedAnswer
        Answer of the earlier attempt.
    """

    answer: recorded_answer.RecordedAnswer
