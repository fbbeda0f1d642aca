"""What this ingress observed of all backend servers."""

import dataclasses

from medlarquay import ids
from medlarquay.routing import observation

__all__ = ('Observations',)


@dataclasses.dataclass(slots=True, kw_only=True)
class Observations:
    """What this ingress observed of all backend servers.

    Attributes
    ----------
    by_instance : dict of InstanceId to Observation
        Observations of instances that a call was sent to.
    ejected_until : float
        End of the latest ejection or silence, seconds on the monotonic
        clock; spares
        the count of ejected servers while there are none.
    large_routes : set of RouteName
        Routes whose last answer was large.
    """

    by_instance: dict[ids.InstanceId, observation.Observation] = (
        dataclasses.field(default_factory=dict)
    )
    ejected_until: float = 0
    large_routes: set[ids.RouteName] = dataclasses.field(default_factory=set)

    def for_instance(self, instance: ids.InstanceId) -> observation.Observation:
        """Return the observation of an instance; make an empty one if new."""
        found = self.by_instance.get(instance)
        if found is None:
            found = observation.Observation()
            self.by_instance[instance] = found
        return found

    def forget_except(self, known: frozenset[ids.InstanceId]) -> None:
        """Forget instances that left, unless a call is still in flight."""
        self.by_instance = {
            instance: found
            for instance, found in self.by_instance.items()
            if instance in known or found.in_flight
        }
