"""An answer of another backend server leaves by the same link."""

import dataclasses

__all__ = ('AnswerRelayed',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerRelayed:
    """An answer of another backend server leaves by the same link.

    Attributes
    ----------
    answer_bytes : int
        Size of the answer.
    """

    answer_bytes: int
