"""All connections between other nodes and a node are reset."""

import dataclasses

from bench.soak.faults import fault

__all__ = ('Reset',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reset(fault.Fault):
    """All connections between other nodes and a node are reset."""
