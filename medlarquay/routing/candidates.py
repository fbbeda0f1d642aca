"""Live backend servers of a service, grouped by distance."""

import dataclasses
from collections.abc import Iterable

from medlarquay import ids, replica, states
from medlarquay.routing import location, zone

__all__ = ('Candidates', 'group_candidates')

_Group = tuple[replica.InstanceRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidates:
    """Live backend servers of a service, grouped by distance.

    Built once for each service and snapshot, so that region names are not
    compared again for each call.

    Attributes
    ----------
    zones : tuple of (Zone, tuple of InstanceRecord)
        Live backend servers, nearest zone first; no group is empty.
    live : frozenset of InstanceId
        Instances of all zones.
    """

    zones: tuple[tuple[zone.Zone, _Group], ...]
    live: frozenset[ids.InstanceId]


def group_candidates(
    backends: Iterable[replica.InstanceRecord],
    *,
    ingress_location: location.Location,
) -> Candidates:
    """Group the live backend servers of a service by distance.

    Parameters
    ----------
    backends : iterable of InstanceRecord
        Backend servers of the service; only live ones are grouped.
    ingress_location : Location
        Location of the ingress.

    Returns
    -------
    Candidates
    """
    groups: dict[zone.Zone, list[replica.InstanceRecord]] = {
        distance: [] for distance in zone.Zone
    }
    for backend in backends:
        if backend.state is states.InstanceState.LIVE:
            groups[ingress_location.zone_of(backend)].append(backend)
    return Candidates(
        zones=tuple(
            (distance, tuple(group))
            for distance, group in groups.items()
            if group
        ),
        live=frozenset(
            member.instance for group in groups.values() for member in group
        ),
    )
