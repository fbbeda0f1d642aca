"""The source confirmed the configuration held."""

import dataclasses

__all__ = ('FreshnessConfirmed',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FreshnessConfirmed:
    """The source confirmed the configuration held.

    Attributes
    ----------
    confirmed_at : float
        Latest time at which it was current, seconds on the monotonic clock.
    """

    confirmed_at: float
