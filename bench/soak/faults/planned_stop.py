"""A node is asked to stop and started again once it is gone."""

import dataclasses

from bench.soak.faults import fault

__all__ = ('PlannedStop',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannedStop(fault.Fault):
    """A node is asked to stop and started again once it is gone."""
