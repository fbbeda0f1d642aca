"""Outcome of one failure scenario."""

import dataclasses

from medlarquay import testing

__all__ = ('ScenarioResult',)


@dataclasses.dataclass(slots=True, kw_only=True)
class ScenarioResult:
    """Outcome of one failure scenario.

    Attributes
    ----------
    told : list of ToldEntry
        What callers were told.
    ran : list of RunEntry
        What backend servers ran.
    problems : list of str
        Stated outcomes that did not come about.
    """

    told: list[testing.ToldEntry]
    ran: list[testing.RunEntry]
    problems: list[str] = dataclasses.field(default_factory=list)

    def check(self, holds: object, problem: str) -> None:
        """Note a problem unless a stated outcome holds."""
        if not holds:
            self.problems.append(problem)
