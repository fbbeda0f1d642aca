"""A node is stopped by a signal and goes on later."""

import dataclasses

from bench.soak.faults import fault

__all__ = ('NodePause',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodePause(fault.Fault):
    """A node is stopped by a signal and goes on later."""
