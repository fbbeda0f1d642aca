"""Drawing of the fault plan of one soak run."""

import random
from collections.abc import Callable

from bench.soak import faults, soak_plan, topology

__all__ = ('build_plan',)

# By then the load has filled the links, as in the incident of 2026-12-04.
_FAULT_FREE_S = 8
# Random faults start once the first planned stop is over, so that no other
# fault can end the requests of the stopping node.
_RANDOM_FROM_S = _FAULT_FREE_S + topology.DRAIN_S + 0.5
# No fault begins in the last seconds of the load, so that the nodes recover
# while it still runs.
_RECOVERY_S = 8
_MEAN_GAP_S = 0.9
# A longer pause would use up the time for which callers wait for an answer.
_MAX_PAUSE_S = 2
_MAX_FAULT_S = 4
_LEAVE_S = 8
_CHANGE_COUNT = 6
_MAX_STOPS = 3
_CLOCK_STEP_COUNT = 2

_FaultBuilder = Callable[[random.Random, float, list[str]], list[faults.Fault]]


def build_plan(*, seed: int, seconds: float, nodes: int) -> soak_plan.SoakPlan:
    """Build the fault plan of a seed; the same arguments give the same plan.

    The first fault is a planned stop of one node on full links, with no other
    fault present. From then on faults are drawn at random times and may
    overlap.

    Parameters
    ----------
    seed : int
        Seed of the fault times, types and targets.
    seconds : float
        Length of the load.
    nodes : int
        Number of instances.
    """
    rng = random.Random(seed)  # noqa: S311
    names = [added.name for added in topology.build_instances(nodes)]
    ingresses = [name for name in names if topology.ARCHIVE not in name]
    drawn: list[faults.Fault] = [
        faults.PlannedStop(at=_FAULT_FREE_S, name=rng.choice(ingresses)),
    ]
    last_at = seconds - _RECOVERY_S
    begins_at = _RANDOM_FROM_S + rng.expovariate(1 / _MEAN_GAP_S)
    while begins_at < last_at:
        build_faults = rng.choices(_BUILDERS, weights=_WEIGHTS)[0]
        drawn.extend(build_faults(rng, begins_at, names))
        begins_at += rng.expovariate(1 / _MEAN_GAP_S)
    drawn.extend(
        faults.Change(at=at, version=number + 1)
        for number, at in enumerate(_change_times(rng, last_at))
    )
    drawn.extend(_build_clock_steps(seed, last_at, names))
    return soak_plan.SoakPlan(
        seed=seed,
        seconds=seconds,
        names=names,
        fault_free_s=_FAULT_FREE_S,
        faults=sorted(drawn, key=lambda fault: fault.at),
    )


def _change_times(rng: random.Random, last_at: float) -> list[float]:
    return sorted(
        rng.uniform(_RANDOM_FROM_S, last_at) for _ in range(_CHANGE_COUNT)
    )


def _build_clock_steps(
    seed: int,
    last_at: float,
    names: list[str],
) -> list[faults.Fault]:
    # A generator of their own leaves the other faults of each seed as they are.
    rng = random.Random(f'clock {seed}')  # noqa: S311
    begin_times = (
        rng.uniform(_RANDOM_FROM_S, last_at) for _ in range(_CLOCK_STEP_COUNT)
    )
    return [
        faults.ClockStep(
            at=at,
            end=at + rng.uniform(0.5, _MAX_FAULT_S),
            name=rng.choice(names),
            ahead=rng.random() < 1 / 2,
        )
        for at in begin_times
    ]


def _build_stops(
    rng: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    count = rng.randint(1, _MAX_STOPS)
    gap_s = rng.uniform(0, 1)
    return [
        faults.PlannedStop(at=at + number * gap_s, name=name)
        for number, name in enumerate(rng.sample(names, count))
    ]


def _build_kills(
    rng: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    count = rng.randint(1, 2)
    return [
        faults.NodeKill(at=at, name=name) for name in rng.sample(names, count)
    ]


def _build_pause(
    rng: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    end = at + rng.uniform(0.2, _MAX_PAUSE_S)
    return [faults.NodePause(at=at, end=end, name=rng.choice(names))]


def _build_backend_pause(
    rng: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    end = at + rng.uniform(0.2, _MAX_PAUSE_S)
    return [faults.BackendPause(at=at, end=end, name=rng.choice(names))]


def _build_backend_crash(
    rng: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    end = at + rng.uniform(0.1, _MAX_PAUSE_S)
    return [faults.BackendCrash(at=at, end=end, name=rng.choice(names))]


def _build_link_fault(
    rng: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    return [
        faults.LinkFault(
            at=at,
            end=at + rng.uniform(0.2, _MAX_FAULT_S),
            name=rng.choice(names),
            harm=rng.choice(list(faults.LinkHarm)),
        ),
    ]


def _build_reset(
    rng: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    return [faults.Reset(at=at, name=rng.choice(names))]


def _build_source_fault(
    rng: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    return [
        faults.SourceFault(
            at=at,
            end=at + rng.uniform(0.5, _MAX_FAULT_S),
            harm=rng.choice(list(faults.SourceHarm)),
        ),
    ]


def _build_leave(
    rng: random.Random,
    at: float,
    names: list[str],
) -> list[faults.Fault]:
    return [faults.Leave(at=at, end=at + _LEAVE_S, name=rng.choice(names))]


_BUILDERS: tuple[_FaultBuilder, ...] = (
    _build_stops,
    _build_kills,
    _build_pause,
    _build_backend_pause,
    _build_backend_crash,
    _build_link_fault,
    _build_reset,
    _build_source_fault,
    _build_leave,
)
_WEIGHTS = (4, 2, 2, 1, 1, 3, 1, 2, 1)
