"""Result of one failure scenario."""

import dataclasses

from medlarquay import testing

__all__ = ('ScenarioResult',)


@dataclasses.dataclass(slots=True, kw_only=True)
class ScenarioResult:
    """Outcome of one failure scenario.

    Attributes
    ----------
    caller_entries : list of ToldEntry
        What callers were told, one entry per request.
    run_entries : list of RunEntry
        What backend servers ran, one entry per run.
    problems : list of str
        Descriptions of the checks that did not hold.
    """

    caller_entries: list[testing.ToldEntry]
    run_entries: list[testing.RunEntry]
    problems: list[str] = dataclasses.field(default_factory=list)

    def check(self, holds: object, problem: str) -> None:
        """Add a problem unless the check holds.

        Parameters
        ----------
        holds : object
            Whether the check holds; tested for its truth value.
        problem : str
            Description of the problem.
        """
        if not holds:
            self.problems.append(problem)
