"""Result of a request in a replay."""

import dataclasses

from medlarquay import states
from medlarquay.testing.replay import replay_request

__all__ = ('ReplayResult',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplayResult:
    """Result of a request in a replay.

    Attributes
    ----------
    request : ReplayRequest
        Request that ended.
    ended_at : float
        When its answer was sent or dropped, it was refused, or its caller
        disconnected, in seconds from the start.
    finished_at : float or None
        When its answer was sent completely, in seconds from the start; None
        if no answer was sent.
    reason : RefusalReason or None
        Why the request was refused or its answer dropped.
    """

    request: replay_request.ReplayRequest
    ended_at: float
    finished_at: float | None
    reason: states.RefusalReason | None = None

    @property
    def in_time(self) -> bool:
        """Whether the request finished by its deadline."""
        return (
            self.finished_at is not None
            and self.finished_at <= self.request.deadline
        )

    @property
    def when_due(self) -> bool:
        """Whether the request finished by its due time and its deadline."""
        return self.finished_at is not None and self.finished_at <= min(
            self.request.due, self.request.deadline
        )

    @property
    def latency_s(self) -> float:
        """Seconds from the arrival to the answer, refusal or disconnect."""
        return self.ended_at - self.request.arrives_at
