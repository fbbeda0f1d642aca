"""Event: all queued requests have to be refused."""

import dataclasses

from medlarquay import states

__all__ = ('QueuesEmptied',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuesEmptied:
    """Event: all queued requests have to be refused.

    Attributes
    ----------
    reason : RefusalReason
        Reason of the refusals, such as a backend server that is down.
    """

    reason: states.RefusalReason
