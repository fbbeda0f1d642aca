"""Queued deadlines are to be checked, also after a pause."""

import dataclasses

__all__ = ('CheckDue',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckDue:
    """Queued deadlines are to be checked, also after a pause."""
