"""Observations of all backend servers by this ingress."""

import dataclasses

from medlarquay import ids
from medlarquay.routing import observation

__all__ = ('Observations',)


@dataclasses.dataclass(slots=True, kw_only=True)
class Observations:
    """Observations of all backend servers by this ingress.

    Attributes
    ----------
    by_instance : dict of InstanceId to Observation
        Observations by backend server; created on first use.
    ejected_until : float
        End of the latest ejection or silence, seconds on the monotonic
        clock. Avoids counting the ejected backend servers while there are
        none.
    large_routes : set of RouteName
        Routes whose latest successful answer was large.
    """

    by_instance: dict[ids.InstanceId, observation.Observation] = (
        dataclasses.field(default_factory=dict)
    )
    ejected_until: float = 0
    large_routes: set[ids.RouteName] = dataclasses.field(default_factory=set)

    def for_instance(self, instance: ids.InstanceId) -> observation.Observation:
        """Return the observation of an instance; create it if missing."""
        observed = self.by_instance.get(instance)
        if observed is None:
            observed = observation.Observation()
            self.by_instance[instance] = observed
        return observed

    def forget_except(self, listed: frozenset[ids.InstanceId]) -> None:
        """Remove instances that left, except those with calls in flight."""
        self.by_instance = {
            instance: observed
            for instance, observed in self.by_instance.items()
            if instance in listed or observed.in_flight
        }
