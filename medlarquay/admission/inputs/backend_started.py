"""The backend server has started and is cold."""

import dataclasses

__all__ = ('BackendStarted',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendStarted:
    """The backend server has started and is cold."""
