"""One lifetime of a node process."""

import dataclasses

__all__ = ('NodeLife',)


@dataclasses.dataclass(slots=True, kw_only=True)
class NodeLife:
    """One lifetime of a node process; Unix times in seconds, 0 for never.

    Attributes
    ----------
    name : str
        Instance.
    started_at : float
        Start of the process.
    asked_at : float
        When it was asked to stop.
    killed_at : float
        When it was killed.
    gone_at : float
        When its end was seen.
    exit_code : int
        Its exit code.
    pauses : list of tuple
        Beginning and end of each pause.
    """

    name: str
    started_at: float
    asked_at: float = 0
    killed_at: float = 0
    gone_at: float = 0
    exit_code: int = 0
    pauses: list[tuple[float, float]] = dataclasses.field(default_factory=list)

    @property
    def stop_began_at(self) -> float:
        """First sign of its end; 0 while there is none."""
        signs = (self.asked_at, self.killed_at, self.gone_at)
        return min((sign for sign in signs if sign), default=0)

    def paused_s(self, since: float, until: float) -> float:
        """Return for how long it was paused between two times."""
        return sum(
            max(0, min(end, until) - max(begin, since))
            for begin, end in self.pauses
        )
