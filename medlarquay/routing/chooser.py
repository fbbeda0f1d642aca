"""What the choice of an owner depends on besides the call."""

import dataclasses
import random

from medlarquay import ids
from medlarquay.routing import observations

__all__ = ('Chooser',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Chooser:
    """What the choice of an owner depends on besides the call.

    Attributes
    ----------
    instance : InstanceId
        Instance of this node.
    observations : Observations
        What this ingress observed.
    random : Random
        Source of random numbers; seeded in tests.
    """

    instance: ids.InstanceId
    observations: observations.Observations
    random: random.Random
