"""Reset of all connections between a node and the other nodes."""

import dataclasses

from bench.soak.faults import fault

__all__ = ('Reset',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reset(fault.Fault):
    """Reset of all connections between a node and the other nodes."""
