"""The count of one reason."""

import dataclasses

__all__ = ('CounterView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CounterView:
    """The count of one reason.

    Attributes
    ----------
    counter : str
        Enumeration, such as ``RefusalReason``.
    reason : str
        Member of the enumeration.
    count : int
        Events since the process started.
    """

    counter: str
    reason: str
    count: int
