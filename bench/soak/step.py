"""A step of a running soak."""

import dataclasses

from bench.soak import faults, phase

__all__ = ('Step',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """A step of a running soak.

    Attributes
    ----------
    at : float
        When it is due, in seconds from the start of the load.
    phase : Phase
        Whether the fault begins or ends.
    fault : Fault
        Fault that it is about.
    """

    at: float
    phase: phase.Phase
    fault: faults.Fault
