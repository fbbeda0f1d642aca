"""Event: the operators' settings or the slots changed."""

import dataclasses

from medlarquay.admission import limits

__all__ = ('LimitsChanged',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitsChanged:
    """Event: the operators' settings or the slots changed.

    Attributes
    ----------
    limits : Limits
        New limits. Running requests above a lowered limit are not stopped.
    """

    limits: limits.Limits
