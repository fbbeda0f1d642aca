"""Report that the request has run but its answer was not kept."""

import dataclasses

__all__ = ('ReportDropped',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportDropped:
    """Report that the request has run but its answer was not kept."""
