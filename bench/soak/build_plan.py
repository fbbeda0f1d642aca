"""Plan of the faults of one soak."""

import random
from collections.abc import Callable

from bench.soak import faults, soak_plan, topology

__all__ = ('build_plan',)

# The links are full by then, as in the incident.
_CALM_S = 8
# The first stop is over by then, so that nothing else ends its requests.
_FAULTS_FROM_S = _CALM_S + topology.DRAIN_S + 0.5
# The last faults end early enough for the nodes to recover under load.
_REST_S = 8
_MEAN_GAP_S = 0.9
# Longer pauses would use up the time for which callers wait.
_MAX_PAUSE_S = 2
_MAX_HARM_S = 4
_LEAVE_S = 8
_CHANGES = 6
_SERIES = 3

_Make = Callable[[random.Random, float, list[str]], list[faults.Fault]]


def build_plan(*, seed: int, seconds: float, nodes: int) -> soak_plan.SoakPlan:
    """Return the plan of a seed.

    It begins with a planned stop while the links are full and nothing else
    is wrong; after it faults come in series and overlap.
    """
    source = random.Random(seed)  # noqa: S311
    names = [one.name for one in topology.build_instances(nodes)]
    ingresses = [name for name in names if topology.ARCHIVE not in name]
    found: list[faults.Fault] = [
        faults.PlannedStop(at=_CALM_S, name=source.choice(ingresses)),
    ]
    last = seconds - _REST_S
    moment = _FAULTS_FROM_S + source.expovariate(1 / _MEAN_GAP_S)
    while moment < last:
        make = source.choices(_KINDS, weights=_WEIGHTS)[0]
        found.extend(make(source, moment, names))
        moment += source.expovariate(1 / _MEAN_GAP_S)
    found.extend(
        faults.Change(at=at, version=number + 1)
        for number, at in enumerate(_change_times(source, last))
    )
    return soak_plan.SoakPlan(
        seed=seed,
        seconds=seconds,
        names=names,
        fault_free_s=_CALM_S,
        faults=sorted(found, key=lambda one: one.at),
    )


def _change_times(source: random.Random, last: float) -> list[float]:
    return sorted(source.uniform(_FAULTS_FROM_S, last) for _ in range(_CHANGES))


def _stops(
    source: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    count = source.randint(1, _SERIES)
    gap_s = source.uniform(0, 1)
    return [
        faults.PlannedStop(at=at + number * gap_s, name=name)
        for number, name in enumerate(source.sample(names, count))
    ]


def _kills(
    source: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    count = source.randint(1, 2)
    return [
        faults.NodeKill(at=at, name=name)
        for name in source.sample(names, count)
    ]


def _pause(
    source: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    end = at + source.uniform(0.2, _MAX_PAUSE_S)
    return [faults.NodePause(at=at, end=end, name=source.choice(names))]


def _backend_pause(
    source: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    end = at + source.uniform(0.2, _MAX_PAUSE_S)
    return [faults.BackendPause(at=at, end=end, name=source.choice(names))]


def _backend_crash(
    source: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    end = at + source.uniform(0.1, _MAX_PAUSE_S)
    return [faults.BackendCrash(at=at, end=end, name=source.choice(names))]


def _link(
    source: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    return [
        faults.LinkFault(
            at=at,
            end=at + source.uniform(0.2, _MAX_HARM_S),
            name=source.choice(names),
            harm=source.choice(list(faults.LinkHarm)),
        ),
    ]


def _reset(
    source: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    return [faults.Reset(at=at, name=source.choice(names))]


def _source(
    source: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    return [
        faults.SourceFault(
            at=at,
            end=at + source.uniform(0.5, _MAX_HARM_S),
            harm=source.choice(list(faults.SourceHarm)),
        ),
    ]


def _leave(
    source: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    return [faults.Leave(at=at, end=at + _LEAVE_S, name=source.choice(names))]


_KINDS: tuple[_Make, ...] = (
    _stops,
    _kills,
    _pause,
    _backend_pause,
    _backend_crash,
    _link,
    _reset,
    _source,
    _leave,
)
_WEIGHTS = (4, 2, 2, 1, 1, 3, 1, 2, 1)
