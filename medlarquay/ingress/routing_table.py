"""The snapshot in force at the ingress."""

import math
from collections.abc import Iterator

from medlarquay import ids, replica, routing, snapshots

__all__ = ('RoutingTable',)


class RoutingTable:
    """Holds the snapshot and what is derived from it once for all calls.

    Parameters
    ----------
    place : Location
        Where this ingress runs.

    Attributes
    ----------
    confirmed_at : float
        Latest time at which the source held nothing newer, seconds on the
        monotonic clock; -inf if unknown.
    """

    def __init__(self, *, place: routing.Location) -> None:
        self.confirmed_at = -math.inf
        self._place = place
        self._snapshot: snapshots.Snapshot | None = None
        self._generation = 0
        self._groups: dict[
            tuple[ids.TeamName, ids.ServiceName],
            routing.Candidates,
        ] = {}
        self._by_node: dict[ids.InstanceId, list[ids.InstanceId]] | None = None

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
        self._by_node = None

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

    def zone_of(self, backend: replica.InstanceRecord) -> routing.Zone:
        """Return how far a backend server is from this ingress."""
        return self._place.zone_of(backend)

    def instances_at(
        self,
        node: ids.InstanceId,
    ) -> tuple[ids.InstanceId, ...]:
        """Return the instances beside a node; the node itself if unknown."""
        if self._by_node is None:
            self._by_node = {}
            for backend in self._backends():
                beside = self._by_node.setdefault(backend.node_name, [])
                beside.append(backend.instance)
        return tuple(self._by_node.get(node, (node,)))

    def instances(self) -> frozenset[ids.InstanceId]:
        """Return all instances of the snapshot in force."""
        return frozenset(backend.instance for backend in self._backends())

    def _backends(self) -> Iterator[replica.InstanceRecord]:
        if self._snapshot is None:
            return
        for service in self._snapshot.services.values():
            yield from service.backends
