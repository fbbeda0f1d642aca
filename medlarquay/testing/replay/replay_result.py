"""What became of one request of a replay."""

import dataclasses

from medlarquay import states
from medlarquay.testing.replay import replay_request

__all__ = ('ReplayResult',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplayResult:
    """What became of one request of a replay.

    Attributes
    ----------
    request : ReplayRequest
        Request.
    ended_at : float
        When its answer had left or was dropped, it was refused, or its
        caller left; seconds from the start.
    finished_at : float or None
        When its answer had left, seconds from the start; None when none
        left.
    reason : RefusalReason or None
        Why it was refused or its answer dropped.
    """

    request: replay_request.ReplayRequest
    ended_at: float
    finished_at: float | None
    reason: states.RefusalReason | None = None

    @property
    def in_time(self) -> bool:
        """Whether the request finished within its deadline."""
        return (
            self.finished_at is not None
            and self.finished_at <= self.request.deadline
        )

    @property
    def when_due(self) -> bool:
        """Whether the request finished by the time it was due."""
        return self.finished_at is not None and self.finished_at <= min(
            self.request.due, self.request.deadline
        )

    @property
    def latency_s(self) -> float:
        """Seconds from the arrival to the answer or the refusal."""
        return self.ended_at - self.request.arrives_at
