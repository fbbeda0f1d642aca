"""A backend server is stopped by a signal and goes on later."""

import dataclasses

from bench.soak.faults import fault

__all__ = ('BackendPause',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendPause(fault.Fault):
    """A backend server is stopped by a signal and goes on later."""
