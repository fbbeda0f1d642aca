"""Decision not to retry a failed request."""

import dataclasses

from medlarquay import states

__all__ = ('RetryDenied',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryDenied:
    """Decision not to retry a failed request.

    Attributes
    ----------
    denial : RetryDenial
        Reason of the denial.
    """

    denial: states.RetryDenial
