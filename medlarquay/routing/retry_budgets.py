"""Retry budgets of one ingress, one for each service."""

from medlarquay import ids, snapshots
from medlarquay.routing import retry_budget

__all__ = ('RetryBudgets',)


class RetryBudgets:
    """Retry budgets of one ingress, one for each service.

    Parameters
    ----------
    fleet_burst : int, optional
        Maximum number of tokens that all nodes together may save for one
        service; ten at each node if left out.

    Notes
    -----
    At each ingress the retries to a service are at most a tenth of the first
    attempts to it, so this holds for the sum over all nodes too, without any
    message between nodes. A failing service cannot spend the tokens that
    requests to other services earned. All nodes may spend their saved tokens
    at the same moment, so ``fleet_burst`` is divided by the number of nodes
    on the instance list; each node may save at least one token.
    """

    def __init__(self, *, fleet_burst: int | None = None) -> None:
        self.fleet_burst = fleet_burst
        self._nodes = 1
        self._budgets: dict[
            tuple[ids.TeamName, ids.ServiceName],
            retry_budget.RetryBudget,
        ] = {}

    def for_service(
        self, service: snapshots.Service
    ) -> retry_budget.RetryBudget:
        """Return the budget of a service; create it if missing."""
        key = service.key
        budget = self._budgets.get(key)
        if budget is None:
            budget = retry_budget.RetryBudget()
            self._limit_burst(budget)
            self._budgets[key] = budget
        return budget

    def apply_snapshot(self, current: snapshots.Snapshot) -> None:
        """Remove services that are not in force and recompute the burst.

        The burst of each budget depends on the number of nodes.
        """
        for key in self._budgets.keys() - current.services.keys():
            self._budgets.pop(key)
        nodes = {
            backend.node_name
            for service in current.services.values()
            for backend in current.backends(service)
        }
        self._nodes = max(1, len(nodes))
        for budget in self._budgets.values():
            self._limit_burst(budget)

    def _limit_burst(self, budget: retry_budget.RetryBudget) -> None:
        if self.fleet_burst is not None:
            budget.limit_burst(max(1, self.fleet_burst // self._nodes))
