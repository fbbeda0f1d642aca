"""The longest run of a message handler in a period."""

import dataclasses

__all__ = ('LongestHandler',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LongestHandler:
    """The longest run of a message handler in a period.

    Attributes
    ----------
    task : str
        Name of the task.
    message : str
        Type name of the message that was handled.
    seconds : float
        Duration without nested handlers; 0 if no handler ran in the period.
    """

    task: str
    message: str
    seconds: float
