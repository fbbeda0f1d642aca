"""Beginning or end of one fault, at its time."""

import dataclasses

from bench.soak import faults, phase

__all__ = ('Step',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """Beginning or end of one fault, at its time.

    Attributes
    ----------
    at : float
        Time of the step in seconds from the start of the load.
    phase : Phase
        Whether the fault is injected or removed.
    fault : Fault
        Fault to inject or remove.
    """

    at: float
    phase: phase.Phase
    fault: faults.Fault
