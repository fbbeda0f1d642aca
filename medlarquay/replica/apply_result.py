"""What applying an answer of the source or a delta changed."""

import dataclasses

from medlarquay import ids, states

__all__ = ('ApplyResult',)


@dataclasses.dataclass(slots=True, kw_only=True)
class ApplyResult:
    """What applying an answer of the source or a delta changed.

    Attributes
    ----------
    teams, instances : set of TeamName, set of InstanceId
        Keys of the records that changed.
    vector_raised : bool
        Whether the version vector rose.
    events : list of ReplicaEvent
        Why parts of it were not applied; to be counted.
    rejections : list of str
        Reasons of rejected documents and conflicts.
    """

    teams: set[ids.TeamName] = dataclasses.field(default_factory=set)
    instances: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    vector_raised: bool = False
    events: list[states.ReplicaEvent] = dataclasses.field(default_factory=list)
    rejections: list[str] = dataclasses.field(default_factory=list)

    @property
    def has_changes(self) -> bool:
        """Whether the replica differs from before."""
        return bool(self.teams or self.instances or self.vector_raised)

    def add_event(self, event: states.ReplicaEvent, reason: str = '') -> None:
        """Add what was not applied."""
        self.events.append(event)
        if reason:
            self.rejections.append(reason)
