"""The process was paused; its freshness is to be confirmed again."""

import dataclasses

__all__ = ('PauseNoticed',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PauseNoticed:
    """The process was paused; its freshness is to be confirmed again."""
