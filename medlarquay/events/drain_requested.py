"""The node is to stop accepting new work."""

import dataclasses

__all__ = ('DrainRequested',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainRequested:
    """The node is to stop accepting new work."""
