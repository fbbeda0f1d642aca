"""Lifetime of one node process."""

import dataclasses

__all__ = ('NodeLife',)


@dataclasses.dataclass(slots=True, kw_only=True)
class NodeLife:
    """Lifetime of one node process, from its start to its exit.

    All times are Unix times in seconds; 0 stands for an event that has not
    happened.

    Attributes
    ----------
    name : str
        Name of the instance.
    started_at : float
        Start of the process.
    asked_at : float
        Time of the first SIGTERM.
    killed_at : float
        Time of the first SIGKILL.
    gone_at : float
        Time at which the exit of the process was noticed.
    exit_code : int
        Exit code of the process; negative for the signal that ended it.
    pauses : list of tuple of float
        Beginning and end of each pause (SIGSTOP to SIGCONT).
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
        """Earliest of SIGTERM, SIGKILL and exit; 0 if none has happened."""
        times = (self.asked_at, self.killed_at, self.gone_at)
        return min((moment for moment in times if moment), default=0)

    def paused_s(self, since: float, until: float) -> float:
        """Return the seconds for which it was paused between two times."""
        return sum(
            max(0, min(end, until) - max(begin, since))
            for begin, end in self.pauses
        )
