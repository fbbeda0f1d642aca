"""What applying an answer of the source or a delta changed."""

import dataclasses

from medlarquay import ids, states

__all__ = ('Change',)


@dataclasses.dataclass(slots=True, kw_only=True)
class Change:
    """What applying an answer of the source or a delta changed.

    Attributes
    ----------
    teams, instances : set of TeamName, set of InstanceId
        Keys of the records that changed.
    vector : bool
        Whether the version vector rose.
    notes : list of ReplicaEvent
        Why parts of it were not applied; to be counted.
    rejections : list of str
        Reasons of rejected documents and conflicts.
    """

    teams: set[ids.TeamName] = dataclasses.field(default_factory=set)
    instances: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    vector: bool = False
    notes: list[states.ReplicaEvent] = dataclasses.field(default_factory=list)
    rejections: list[str] = dataclasses.field(default_factory=list)

    @property
    def anything(self) -> bool:
        """Whether the replica differs from before."""
        return bool(self.teams or self.instances or self.vector)

    def note(self, event: states.ReplicaEvent, reason: str = '') -> None:
        """Add what was not applied."""
        self.notes.append(event)
        if reason:
            self.rejections.append(reason)
