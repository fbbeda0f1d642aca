"""What a node received of a change of the configuration."""

import dataclasses

from medlarquay import replica, states, telemetry

__all__ = ('ReceivedChange',)

_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True, kw_only=True)
class ReceivedChange:
    """What a node received of a change of the configuration.

    Attributes
    ----------
    origin : ChangeOrigin
        Where its latest part came from.
    received_at : float
        When its first part arrived, seconds on the monotonic clock.
    confirmed_at : float
        Latest confirmation by the source that the node knows of, seconds on
        the monotonic clock; for a change that was read, the sending of the
        read.
    parts, wire_bytes : int
        Messages or answers that it came in, and their length.
    teams, instances : int
        Records changed.
    """

    origin: states.ChangeOrigin
    received_at: float
    confirmed_at: float
    parts: int = 0
    wire_bytes: int = 0
    teams: int = 0
    instances: int = 0

    def continue_after(self, earlier: 'ReceivedChange') -> None:
        """Take over the parts that came before and are not in force yet."""
        self.received_at = min(self.received_at, earlier.received_at)
        self.parts += earlier.parts
        self.wire_bytes += earlier.wire_bytes
        self.teams += earlier.teams
        self.instances += earlier.instances

    def add(self, change: replica.ApplyResult, wire_bytes: int) -> None:
        """Add a part."""
        self.parts += 1
        self.wire_bytes += wire_bytes
        self.teams += len(change.teams)
        self.instances += len(change.instances)

    def describe(self, vector: replica.VersionVector, now: float) -> str:
        """Return the fields of the log line when it has come into force."""
        return telemetry.format_fields(
            tree_revision=vector.tree_revision,
            list_revision=vector.list_revision,
            origin=self.origin.value,
            teams=self.teams,
            instances=self.instances,
            parts=self.parts,
            bytes=self.wire_bytes,
            age_ms=_ms(now - self.confirmed_at),
            apply_ms=_ms(now - self.received_at),
        )

    def measure(self, measured: telemetry.Histograms, now: float) -> None:
        """Add its age and the time of its application to the histograms."""
        age = now - self.confirmed_at
        if age < float('inf'):
            measured.configuration_age.observe(age)
        measured.configuration_apply.observe(now - self.received_at)


def _ms(seconds: float) -> int | None:
    return None if seconds == float('inf') else int(seconds * _MS_PER_SECOND)
