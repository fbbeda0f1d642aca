"""Refuse the attempt; it was not run."""

import dataclasses

from medlarquay import states

__all__ = ('Refuse',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Refuse the attempt; it was not run.

    Attributes
    ----------
    reason : RefusalReason
        Why.
    """

    reason: states.RefusalReason
