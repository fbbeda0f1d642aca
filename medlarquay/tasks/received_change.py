"""Origin, size and times of a change that a node received."""

import dataclasses

from medlarquay import replica, states, telemetry

__all__ = ('ReceivedChange',)

_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True, kw_only=True)
class ReceivedChange:
    """Origin, size and times of a change that a node received.

    It is logged and measured when a snapshot with the change is published.

    Attributes
    ----------
    origin : ChangeOrigin
        Origin of the latest part.
    received_at : float
        When the first part arrived, seconds on the monotonic clock.
    confirmed_at : float
        When the source last confirmed the data of this node, seconds on the
        monotonic clock; for a change read from the source, when the read was
        sent.
    parts, wire_bytes : int
        Number of messages or answers that carried the change, and their total
        length in bytes.
    teams, instances : int
        Number of records changed.
    """

    origin: states.ChangeOrigin
    received_at: float
    confirmed_at: float
    parts: int = 0
    wire_bytes: int = 0
    teams: int = 0
    instances: int = 0

    def merge_earlier(self, earlier: 'ReceivedChange') -> None:
        """Merge an earlier change that is not in a published snapshot yet."""
        self.received_at = min(self.received_at, earlier.received_at)
        self.parts += earlier.parts
        self.wire_bytes += earlier.wire_bytes
        self.teams += earlier.teams
        self.instances += earlier.instances

    def add(self, result: replica.ApplyResult, wire_bytes: int) -> None:
        """Add a part of the change."""
        self.parts += 1
        self.wire_bytes += wire_bytes
        self.teams += len(result.teams)
        self.instances += len(result.instances)

    def describe(self, vector: replica.VersionVector, now: float) -> str:
        """Return the fields of the log line for the published change."""
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

    def observe(self, histograms: telemetry.Histograms, now: float) -> None:
        """Observe the age and the application time in the histograms."""
        age = now - self.confirmed_at
        if age < float('inf'):
            histograms.configuration_age.observe(age)
        histograms.configuration_apply.observe(now - self.received_at)


def _ms(seconds: float) -> int | None:
    return None if seconds == float('inf') else int(seconds * _MS_PER_SECOND)
