"""Kill of a backend server; a new one starts at its address."""

import dataclasses

from bench.soak.faults import fault

__all__ = ('BackendCrash',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendCrash(fault.Fault):
    """Kill of a backend server; a new one starts at its address."""
