"""Event: the backend server started, and its cold start begins."""

import dataclasses

__all__ = ('BackendStarted',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendStarted:
    """Event: the backend server started, and its cold start begins."""
