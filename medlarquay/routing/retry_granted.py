"""A failed request is attempted again."""

import dataclasses

from medlarquay import states

__all__ = ('RetryGranted',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryGranted:
    """A failed request is attempted again.

    Attributes
    ----------
    reason : RetryReason
        Why.
    """

    reason: states.RetryReason
