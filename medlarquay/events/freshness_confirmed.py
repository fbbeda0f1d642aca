"""The source confirmed that the configuration of this node is current."""

import dataclasses
import math

__all__ = ('FreshnessConfirmed',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FreshnessConfirmed:
    """The source confirmed that the configuration of this node is current.

    Attributes
    ----------
    confirmed_at : float
        Latest time at which the configuration was current, seconds on the
        monotonic clock; -inf if unknown, as after a pause of the process.
    list_confirmed_at : float
        The same for the instance list alone; -inf if unknown.
    """

    confirmed_at: float
    list_confirmed_at: float = -math.inf
