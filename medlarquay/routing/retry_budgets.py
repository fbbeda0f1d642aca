"""Budgets of the retries of one ingress, one for each service."""

from medlarquay import ids, snapshots
from medlarquay.routing import retry_budget

__all__ = ('RetryBudgets',)


class RetryBudgets:
    """Budgets of the retries of one ingress, one for each service.

    Parameters
    ----------
    fleet_burst : int, optional
        Retries that all nodes together may save for one service; ten at each
        node if left out.

    Notes
    -----
    The retries to a service are a tenth of the first attempts to it at each
    ingress, so their sum over all nodes is a tenth too, without any message
    between nodes. A service that fails cannot spend what others earned. What
    the nodes saved may be spent in one moment, so the instance list divides
    ``fleet_burst`` among them; each may save one token at least.
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
        """Return the budget of a service."""
        key = (service.team, service.parameters.name)
        found = self._budgets.get(key)
        if found is None:
            found = retry_budget.RetryBudget()
            self._limit(found)
            self._budgets[key] = found
        return found

    def apply_snapshot(self, current: snapshots.Snapshot) -> None:
        """Forget the services that are not in force; count the nodes."""
        for key in self._budgets.keys() - current.services.keys():
            self._budgets.pop(key)
        nodes = {
            backend.node_name
            for service in current.services.values()
            for backend in service.backends
        }
        self._nodes = max(1, len(nodes))
        for budget in self._budgets.values():
            self._limit(budget)

    def _limit(self, budget: retry_budget.RetryBudget) -> None:
        if self.fleet_burst is not None:
            budget.limit(max(1, self.fleet_burst // self._nodes))
