"""Read the settings again."""

import dataclasses

__all__ = ('ReloadRequested',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReloadRequested:
    """Read the settings again."""
