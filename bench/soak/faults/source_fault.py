"""Temporary fault of the source."""

import dataclasses

from bench.soak.faults import fault, source_harm

__all__ = ('SourceFault',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SourceFault(fault.Fault):
    """Temporary fault of the source.

    Attributes
    ----------
    harm : SourceHarm
        Type of the fault.
    """

    harm: source_harm.SourceHarm
