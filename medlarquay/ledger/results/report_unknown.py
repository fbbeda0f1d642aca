"""Report that the outcome of an earlier attempt is unknown."""

import dataclasses

from medlarquay import states

__all__ = ('ReportUnknown',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportUnknown:
    """Report that the outcome of an earlier attempt is unknown.

    Attributes
    ----------
    reason : RefusalReason
        Why the outcome of that attempt is unknown.
    """

    reason: states.RefusalReason
