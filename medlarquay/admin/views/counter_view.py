"""Number of events with one reason."""

import dataclasses

__all__ = ('CounterView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CounterView:
    """Number of events with one reason.

    Attributes
    ----------
    counter : str
        Name of the enumeration, such as ``RefusalReason``.
    reason : str
        Value of the member of the enumeration.
    count : int
        Events since the process started.
    """

    counter: str
    reason: str
    count: int
