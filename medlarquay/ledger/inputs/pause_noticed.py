"""The process was paused; the source must confirm freshness again."""

import dataclasses

__all__ = ('PauseNoticed',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PauseNoticed:
    """The process was paused; the source must confirm freshness again."""
