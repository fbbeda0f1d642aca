"""The instance list says that an instance is leaving, then live again."""

import dataclasses

from bench.soak.faults import fault

__all__ = ('Leave',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Leave(fault.Fault):
    """The instance list says that an instance is leaving, then live again."""
