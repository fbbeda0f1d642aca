"""What one soak does."""

import dataclasses

from bench.soak import faults

__all__ = ('SoakPlan',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SoakPlan:
    """What one soak does.

    Attributes
    ----------
    seed : int
        Seed of the faults and of the load.
    seconds : float
        Length of the load.
    names : list of str
        Instances.
    fault_free_s : float
        Time of the load before the first fault.
    faults : list of Fault
        Faults in order of time.
    """

    seed: int
    seconds: float
    names: list[str]
    fault_free_s: float
    faults: list[faults.Fault]

    @property
    def last_version(self) -> int:
        """Number of the last version that is published."""
        return sum(1 for one in self.faults if isinstance(one, faults.Change))
