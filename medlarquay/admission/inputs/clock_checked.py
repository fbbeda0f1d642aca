"""Queued deadlines are to be checked, also after a pause."""

import dataclasses

__all__ = ('ClockChecked',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClockChecked:
    """Queued deadlines are to be checked, also after a pause."""
