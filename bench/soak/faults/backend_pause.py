"""Pause of a backend server process (SIGSTOP, later SIGCONT)."""

import dataclasses

from bench.soak.faults import fault

__all__ = ('BackendPause',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendPause(fault.Fault):
    """Pause of a backend server process (SIGSTOP, later SIGCONT)."""
