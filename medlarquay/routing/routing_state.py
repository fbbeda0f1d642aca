"""What the choice of an owner depends on besides the call."""

import dataclasses
import random

from medlarquay import ids
from medlarquay.routing import observations, retry_budgets, split_round_robin

__all__ = ('RoutingState',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutingState:
    """What the choice of an owner depends on besides the call.

    Attributes
    ----------
    instance : InstanceId
        Instance of this node.
    observations : Observations
        What this ingress observed.
    random : Random
        Source of random numbers; seeded in tests.
    round_robin : SplitRoundRobin
        Shares the requests of split routes.
    budgets : RetryBudgets
        Tokens for retries.
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
