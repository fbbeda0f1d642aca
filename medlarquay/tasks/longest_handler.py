"""The handler of a task that took longest in a period."""

import dataclasses

__all__ = ('LongestHandler',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LongestHandler:
    """The handler of a task that took longest in a period.

    Attributes
    ----------
    task : str
        Name of the task.
    message : str
        Type of the message that it handled.
    seconds : float
        Time without that of handlers which ran within; 0 if there was none.
    """

    task: str
    message: str
    seconds: float
