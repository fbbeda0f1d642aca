"""Budgets of the retries of one ingress, one for each service."""

from medlarquay import ids, snapshots
from medlarquay.routing import retry_budget

__all__ = ('RetryBudgets',)


class RetryBudgets:
    """Budgets of the retries of one ingress, one for each service.

    Notes
    -----
    The retries to a service are a tenth of the first attempts to it at each
    ingress, so their sum over all nodes is a tenth too, without any message
    between nodes. A service that fails cannot spend what others earned.
    """

    def __init__(self) -> None:
        self._budgets: dict[
            tuple[ids.TeamName, ids.ServiceName],
            retry_budget.RetryBudget,
        ] = {}

    def of(self, service: snapshots.Service) -> retry_budget.RetryBudget:
        """Return the budget of a service."""
        key = (service.team, service.parameters.name)
        found = self._budgets.get(key)
        if found is None:
            found = retry_budget.RetryBudget()
            self._budgets[key] = found
        return found

    def keep_only(self, current: snapshots.Snapshot) -> None:
        """Forget the services that are not in force any more."""
        for key in self._budgets.keys() - current.services.keys():
            self._budgets.pop(key)
