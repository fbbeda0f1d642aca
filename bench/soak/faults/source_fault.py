"""The source misbehaves for a time."""

import dataclasses

from bench.soak.faults import fault, source_harm

__all__ = ('SourceFault',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SourceFault(fault.Fault):
    """The source misbehaves for a time.

    Attributes
    ----------
    harm : SourceHarm
        What happens to it.
    """

    harm: source_harm.SourceHarm
