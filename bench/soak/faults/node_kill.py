"""Kill of a node (SIGKILL), followed by a restart."""

import dataclasses

from bench.soak.faults import fault

__all__ = ('NodeKill',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeKill(fault.Fault):
    """Kill of a node (SIGKILL), followed by a restart."""
