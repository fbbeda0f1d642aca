"""Tell the owners of the same service."""

import dataclasses

from medlarquay import messages

__all__ = ('Announce',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announce:
    """Tell the owners of the same service.

    Attributes
    ----------
    message : CrashSuspected or SuspicionCleared
        What to tell.
    """

    message: messages.CrashSuspected | messages.SuspicionCleared
