"""Step of the time of day of a node, and the step back to the right time."""

import dataclasses

from bench.soak.faults import fault

__all__ = ('ClockStep',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClockStep(fault.Fault):
    """Step of the time of day of a node, and the step back to the right time.

    Attributes
    ----------
    ahead : bool
        Whether the time of day is set ahead at first; else it is set back.
    """

    ahead: bool
