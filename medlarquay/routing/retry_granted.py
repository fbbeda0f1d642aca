"""Decision to retry a failed request."""

import dataclasses

from medlarquay import states

__all__ = ('RetryGranted',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryGranted:
    """Decision to retry a failed request.

    Attributes
    ----------
    reason : RetryReason
        Reason of the retry.
    """

    reason: states.RetryReason
