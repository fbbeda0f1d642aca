"""A node is killed and started again."""

import dataclasses

from bench.soak.faults import fault

__all__ = ('NodeKill',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeKill(fault.Fault):
    """A node is killed and started again."""
