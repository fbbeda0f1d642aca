"""Planned stop of a node (SIGTERM), followed by a restart."""

import dataclasses

from bench.soak.faults import fault

__all__ = ('PlannedStop',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannedStop(fault.Fault):
    """Planned stop of a node (SIGTERM), followed by a restart."""
