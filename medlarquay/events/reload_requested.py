"""Reload the settings."""

import dataclasses

__all__ = ('ReloadRequested',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReloadRequested:
    """Reload the settings."""
