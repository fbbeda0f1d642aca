"""Pause of a node process (SIGSTOP, later SIGCONT)."""

import dataclasses

from bench.soak.faults import fault

__all__ = ('NodePause',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodePause(fault.Fault):
    """Pause of a node process (SIGSTOP, later SIGCONT)."""
