"""Decision to send a message to the other owners of the service."""

import dataclasses

from medlarquay import messages

__all__ = ('Announce',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announce:
    """Decision to send a message to the other owners of the service.

    Attributes
    ----------
    message : CrashSuspected or SuspicionCleared
        Message to send.
    """

    message: messages.CrashSuspected | messages.SuspicionCleared
