"""Replica of the planned size and changes to it, for measurements."""

import dataclasses
import json

from bench import planned_size
from medlarquay import ids, replica

__all__ = ('ControlSamples',)


@dataclasses.dataclass(slots=True, kw_only=True)
class ControlSamples:
    """Replica of the planned size, and changes to it.

    Attributes
    ----------
    local_replica : Replica
        Replica that the changes are applied to.
    revision : int
        Revision of the last change.
    """

    local_replica: replica.Replica = dataclasses.field(
        default_factory=replica.Replica
    )
    revision: int = 0

    def fill(self) -> None:
        """Apply all teams and instances of the planned size."""
        teams = range(planned_size.TEAMS)
        self.publish_teams(tuple(teams), timeout_ms=2000)
        self.publish_instances(range(planned_size.BACKENDS))

    def publish_teams(self, teams: tuple[int, ...], timeout_ms: int) -> None:
        """Apply new documents of some teams as if read from the source."""
        self._apply(
            replica.SourceTree.TEAMS,
            [(f'team-{team}', _document(team, timeout_ms)) for team in teams],
        )

    def publish_instances(self, numbers: range, state: str = 'live') -> None:
        """Apply new entries of some instances as if read from the source."""
        self._apply(
            replica.SourceTree.INSTANCES,
            [(f'i-{number}', _instance(number, state)) for number in numbers],
        )

    def _apply(
        self,
        tree: replica.SourceTree,
        values: list[tuple[str, dict[str, object]]],
    ) -> None:
        last_revision = self.revision
        entries = []
        for key, content in values:
            self.revision += 1
            entries.append(
                replica.SourceValue(
                    key=key,
                    revision=ids.Revision(self.revision),
                    content=json.dumps(content).encode(),
                ),
            )
        replica.apply_source(
            self.local_replica,
            tree=tree,
            after=ids.Revision(_applied_revision(self.local_replica, tree)),
            revision=ids.Revision(max(last_revision, self.revision)),
            entries=tuple(entries),
        )


def _applied_revision(
    local_replica: replica.Replica,
    tree: replica.SourceTree,
) -> ids.Revision:
    if tree is replica.SourceTree.TEAMS:
        return local_replica.vector.tree_revision
    return local_replica.vector.list_revision


def _document(team: int, timeout_ms: int) -> dict[str, object]:
    names = [f's-{number}' for number in range(planned_size.SERVICES_PER_TEAM)]
    return {
        'services': {
            name: {'floors': {'normal': 0.2, 'bulk': 0.1}, 'queue_limit': 64}
            for name in names
        },
        'routes': [
            {
                'host': f'{name}.team-{team}',
                'path_prefix': '/',
                'service': name,
                'rank': 'normal',
                'timeout_ms': timeout_ms,
            }
            for name in names
        ],
    }


def _instance(number: int, state: str) -> dict[str, object]:
    centre = number % planned_size.CENTRES
    service = number // planned_size.CENTRES
    return {
        'instance': f'i-{number}',
        'team': f'team-{service % planned_size.TEAMS}',
        'service': f's-{service % planned_size.SERVICES_PER_TEAM}',
        'region': f'region-{centre % planned_size.REGIONS}',
        'data_centre': f'centre-{centre}',
        'host': f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}',
        'caller_port': 7000,
        'peer_port': 7001,
        'slots': 18,
        'state': state,
    }
