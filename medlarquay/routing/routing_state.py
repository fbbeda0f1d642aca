"""What the choice of an owner depends on besides the call."""

import dataclasses
import random

from medlarquay import ids
from medlarquay.routing import observations, retry_budgets, split_turns

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
    turns : SplitTurns
        Shares the requests of split routes.
    budgets : RetryBudgets
        Tokens for retries.
    """

    instance: ids.InstanceId
    observations: observations.Observations
    random: random.Random
    turns: split_turns.SplitTurns = dataclasses.field(
        default_factory=split_turns.SplitTurns,
    )
    budgets: retry_budgets.RetryBudgets = dataclasses.field(
        default_factory=retry_budgets.RetryBudgets,
    )
