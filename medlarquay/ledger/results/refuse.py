"""Refuse the attempt without running it."""

import dataclasses

from medlarquay import states

__all__ = ('Refuse',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Refuse the attempt without running it.

    Attributes
    ----------
    reason : RefusalReason
        Reason reported to the caller.
    """

    reason: states.RefusalReason
