"""Liveness of the process."""

import dataclasses

__all__ = ('HealthView',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HealthView:
    """Liveness of the process.

    Attributes
    ----------
    state : str
        Lifecycle state.
    """

    state: str
