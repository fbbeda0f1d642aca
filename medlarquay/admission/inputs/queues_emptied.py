"""All queued requests are to be refused."""

import dataclasses

from medlarquay import states

__all__ = ('QueuesEmptied',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuesEmptied:
    """All queued requests are to be refused.

    Attributes
    ----------
    reason : RefusalReason
        Why, such as a backend server that is down.
    """

    reason: states.RefusalReason
