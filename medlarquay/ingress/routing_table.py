"""The snapshot in force at the ingress."""

from medlarquay import ids, routing, snapshots

__all__ = ('RoutingTable',)


class RoutingTable:
    """Holds the snapshot and what is derived from it once for all calls.

    Parameters
    ----------
    place : Location
        Where this ingress runs.
    """

    def __init__(self, *, place: routing.Location) -> None:
        self._place = place
        self._snapshot: snapshots.Snapshot | None = None
        self._generation = 0
        self._groups: dict[
            tuple[ids.TeamName, ids.ServiceName],
            routing.Candidates,
        ] = {}

    @property
    def snapshot(self) -> snapshots.Snapshot | None:
        """Snapshot in force; None before the first."""
        return self._snapshot

    @property
    def generation(self) -> int:
        """Number of the snapshot, counted by this process."""
        return self._generation

    def replace(self, snapshot: snapshots.Snapshot) -> None:
        """Use a newer snapshot."""
        self._snapshot = snapshot
        self._generation += 1
        self._groups = {}

    def current(self, service: snapshots.Service) -> snapshots.Service:
        """Return a service as the snapshot in force has it."""
        if self._snapshot is None:
            return service
        key = (service.team, service.parameters.name)
        return self._snapshot.services.get(key, service)

    def candidates(self, service: snapshots.Service) -> routing.Candidates:
        """Return the live backend servers of a service by distance."""
        key = (service.team, service.parameters.name)
        found = self._groups.get(key)
        if found is None:
            found = routing.group_candidates(
                self.current(service).backends,
                place=self._place,
            )
            self._groups[key] = found
        return found

    def instances(self) -> frozenset[ids.InstanceId]:
        """Return all instances of the snapshot in force."""
        if self._snapshot is None:
            return frozenset()
        return frozenset(
            backend.instance
            for service in self._snapshot.services.values()
            for backend in service.backends
        )
