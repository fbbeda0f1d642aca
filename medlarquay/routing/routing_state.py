"""Routing state of one ingress."""

import dataclasses
import random

from medlarquay import ids
from medlarquay.routing import observations, retry_budgets, split_round_robin

__all__ = ('RoutingState',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutingState:
    """Routing state of one ingress, shared by all calls.

    Attributes
    ----------
    instance : InstanceId
        Instance of this node.
    observations : Observations
        Observations of backend servers by this ingress.
    random : Random
        Source of random numbers; seeded in tests.
    round_robin : SplitRoundRobin
        Distributes the requests of split routes by weight.
    budgets : RetryBudgets
        Retry budget of each service.
    """

    instance: ids.InstanceId
    observations: observations.Observations
    random: random.Random
    round_robin: split_round_robin.SplitRoundRobin = dataclasses.field(
        default_factory=split_round_robin.SplitRoundRobin,
    )
    budgets: retry_budgets.RetryBudgets = dataclasses.field(
        default_factory=retry_budgets.RetryBudgets,
    )
