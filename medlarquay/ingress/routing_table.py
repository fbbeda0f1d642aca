"""The snapshot in force at the ingress, with derived lookup tables."""

import math
from collections.abc import Iterator

from medlarquay import ids, replica, routing, snapshots

__all__ = ('RoutingTable',)


class RoutingTable:
    """Snapshot in force, with lookup tables that all calls share.

    The tables are built when first needed, once for each snapshot.

    Parameters
    ----------
    location : Location
        Location of this ingress.

    Attributes
    ----------
    confirmed_at : float
        Latest time at which the source is known to have held nothing newer,
        seconds on the monotonic clock; -inf if unknown.
    """

    def __init__(self, *, location: routing.Location) -> None:
        self.confirmed_at = -math.inf
        self._location = location
        self._snapshot: snapshots.Snapshot | None = None
        self._kept: replica.InstanceRecord | None = None
        self._generation = 0
        self._candidates: dict[
            tuple[ids.TeamName, ids.ServiceName],
            routing.Candidates,
        ] = {}
        self._instances_by_node: (
            dict[ids.InstanceId, list[ids.InstanceId]] | None
        ) = None

    @property
    def snapshot(self) -> snapshots.Snapshot | None:
        """Snapshot in force; None before the first one arrives."""
        return self._snapshot

    @property
    def revision(self) -> ids.Revision | None:
        """Tree revision of the snapshot in force; None before the first."""
        return None if self._snapshot is None else self._snapshot.tree_revision

    @property
    def generation(self) -> int:
        """Sequence number of the snapshot in this process, from 1."""
        return self._generation

    def replace(self, snapshot: snapshots.Snapshot) -> None:
        """Put a newer snapshot in force."""
        self._snapshot = snapshot
        self._generation += 1
        self._candidates = {}
        self._instances_by_node = None

    def keep(self, record: replica.InstanceRecord | None) -> None:
        """Use a backend server although it is not listed; None to end that."""
        self._kept = record
        self._candidates = {}
        self._instances_by_node = None

    def backends(
        self, service: snapshots.Service
    ) -> tuple[replica.InstanceRecord, ...]:
        """Return the listed backend servers of a service."""
        if self._snapshot is None:
            return ()
        return self._snapshot.backends(service)

    def candidates(self, service: snapshots.Service) -> routing.Candidates:
        """Return the live backend servers of a service, grouped by zone."""
        key = service.key
        candidates = self._candidates.get(key)
        if candidates is None:
            candidates = routing.group_candidates(
                (*self.backends(service), *self._unlisted(key)),
                ingress_location=self._location,
            )
            self._candidates[key] = candidates
        return candidates

    def zone_of(self, backend: replica.InstanceRecord) -> routing.Zone:
        """Return the zone of a backend server, seen from this ingress."""
        return self._location.zone_of(backend)

    def instances_at(
        self,
        node: ids.InstanceId,
    ) -> tuple[ids.InstanceId, ...]:
        """Return the instances whose owner is a node.

        Returns the node itself if the snapshot has no such instance.
        """
        if self._instances_by_node is None:
            self._instances_by_node = {}
            for backend in self._backends():
                instances = self._instances_by_node.setdefault(
                    backend.node_name, []
                )
                instances.append(backend.instance)
        return tuple(self._instances_by_node.get(node, (node,)))

    def instances(self) -> frozenset[ids.InstanceId]:
        """Return all instances of the snapshot in force."""
        return frozenset(backend.instance for backend in self._backends())

    def _unlisted(
        self,
        key: tuple[ids.TeamName, ids.ServiceName],
    ) -> tuple[replica.InstanceRecord, ...]:
        kept = self._kept
        if kept is None or (kept.team, kept.service) != key:
            return ()
        return (kept,)

    def _backends(self) -> Iterator[replica.InstanceRecord]:
        if self._snapshot is None:
            return
        for service in self._snapshot.services.values():
            yield from self._snapshot.backends(service)
        if self._kept is not None:
            yield self._kept
