"""Answer that the outcome is unknown."""

import dataclasses

from medlarquay import states

__all__ = ('ReportUnknown',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportUnknown:
    """Answer that the outcome is unknown.

    Attributes
    ----------
    reason : RefusalReason
        What broke in the earlier attempt.
    """

    reason: states.RefusalReason
