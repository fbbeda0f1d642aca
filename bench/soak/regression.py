"""Runs that failed once."""

import dataclasses
import pathlib

__all__ = ('Regression', 'read_regressions')

_LIST = pathlib.Path(__file__).parent / 'regressions.txt'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Regression:
    """A run that failed once.

    Attributes
    ----------
    seed : int
        Its seed.
    seconds : float
        Length of its load.
    nodes : int
        Its nodes.
    cause : str
        Why it failed.
    """

    seed: int
    seconds: float
    nodes: int
    cause: str = ''


def read_regressions() -> list[Regression]:
    """Return the runs of the list: seed, seconds, nodes and cause a line."""
    found = []
    for line in _LIST.read_text(encoding='utf-8').splitlines():
        if line.startswith('#'):
            continue
        seed, seconds, nodes, cause = line.split(maxsplit=3)
        found.append(
            Regression(
                seed=int(seed),
                seconds=float(seconds),
                nodes=int(nodes),
                cause=cause,
            ),
        )
    return found
