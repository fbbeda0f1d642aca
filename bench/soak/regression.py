"""Recorded soak runs that have failed before."""

import dataclasses
import pathlib

__all__ = ('Regression', 'read_regressions')

_REGRESSIONS_PATH = pathlib.Path(__file__).parent / 'regressions.txt'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Regression:
    """A soak run that failed before, with the arguments that repeat it.

    Attributes
    ----------
    seed : int
        Seed of the plan and of the load.
    seconds : float
        Length of the load.
    nodes : int
        Number of nodes.
    cause : str
        Why it failed; empty for a run that is not from the list.
    """

    seed: int
    seconds: float
    nodes: int
    cause: str = ''


def read_regressions() -> list[Regression]:
    """Read ``regressions.txt``.

    Each line has seed, seconds, nodes and cause, separated by spaces; lines
    that start with ``#`` are comments.
    """
    regressions = []
    for line in _REGRESSIONS_PATH.read_text(encoding='utf-8').splitlines():
        if line.startswith('#'):
            continue
        seed, seconds, nodes, cause = line.split(maxsplit=3)
        regressions.append(
            Regression(
                seed=int(seed),
                seconds=float(seconds),
                nodes=int(nodes),
                cause=cause,
            ),
        )
    return regressions
