"""Fault plan of one soak run."""

import dataclasses

from bench.soak import faults

__all__ = ('SoakPlan',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SoakPlan:
    """Fault plan of one soak run.

    Attributes
    ----------
    seed : int
        Seed of the faults and of the load.
    seconds : float
        Length of the load.
    names : list of str
        Names of the instances.
    fault_free_s : float
        Seconds of the load before the first fault.
    faults : list of Fault
        Faults in order of their start.
    """

    seed: int
    seconds: float
    names: list[str]
    fault_free_s: float
    faults: list[faults.Fault]

    @property
    def last_version(self) -> int:
        """Number of the last version of the document that is published."""
        return sum(
            1 for fault in self.faults if isinstance(fault, faults.Change)
        )
