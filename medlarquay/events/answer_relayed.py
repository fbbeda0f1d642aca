"""A large answer of another owner leaves for a caller of this node."""

import dataclasses

__all__ = ('AnswerRelayed',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerRelayed:
    """A large answer of another owner leaves for a caller of this node.

    Attributes
    ----------
    answer_bytes : int
        Size of the answer.
    """

    answer_bytes: int
