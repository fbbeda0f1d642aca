"""The source confirmed the configuration held."""

import dataclasses
import math

__all__ = ('FreshnessConfirmed',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FreshnessConfirmed:
    """The source confirmed the configuration held.

    Attributes
    ----------
    confirmed_at : float
        Latest time at which it was current, seconds on the monotonic clock.
    list_confirmed_at : float
        The same for the instance list alone; -inf if unknown.
    """

    confirmed_at: float
    list_confirmed_at: float = -math.inf
