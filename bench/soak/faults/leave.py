"""Instance listed as leaving in the instance list, later as live."""

import dataclasses

from bench.soak.faults import fault

__all__ = ('Leave',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Leave(fault.Fault):
    """Instance listed as leaving in the instance list, later as live."""
