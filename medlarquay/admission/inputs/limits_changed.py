"""The operators' settings or the slots have changed."""

import dataclasses

from medlarquay.admission import limits

__all__ = ('LimitsChanged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitsChanged:
    """The operators' settings or the slots have changed.

    Attributes
    ----------
    limits : Limits
        New limits; running requests above a lower limit finish.
    """

    limits: limits.Limits
