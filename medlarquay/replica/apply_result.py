"""Result of applying an answer of the source or a delta to a replica."""

import dataclasses

from medlarquay import ids, states

__all__ = ('ApplyResult',)


@dataclasses.dataclass(slots=True, kw_only=True)
class ApplyResult:
    """Result of applying an answer of the source or a delta to a replica.

    Attributes
    ----------
    teams, instances : set of TeamName, set of InstanceId
        Keys of the records that changed.
    vector_raised : bool
        Whether the version vector advanced.
    events : list of ReplicaEvent
        Reasons for which parts were not applied; the caller counts them.
    rejections : list of str
        Descriptions of rejected documents and conflicts, for the log.
    """

    teams: set[ids.TeamName] = dataclasses.field(default_factory=set)
    instances: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    vector_raised: bool = False
    events: list[states.ReplicaEvent] = dataclasses.field(default_factory=list)
    rejections: list[str] = dataclasses.field(default_factory=list)

    @property
    def has_changes(self) -> bool:
        """Whether the replica was changed."""
        return bool(self.teams or self.instances or self.vector_raised)

    def add_event(self, event: states.ReplicaEvent, reason: str = '') -> None:
        """Add an event for a part that was not applied."""
        self.events.append(event)
        if reason:
            self.rejections.append(reason)
