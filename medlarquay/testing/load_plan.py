"""A load that a caller runs."""

import dataclasses
import json
import random

from medlarquay.testing import load_mix

__all__ = ('LoadPlan', 'parse_plan')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """A load that a caller runs.

    Attributes
    ----------
    seed : int
        Seed of the arrival times and of the random part of the keys.
    seconds : float
        Length of the load.
    mixes : list of LoadMix
        Kinds of requests.
    """

    seed: int
    seconds: float
    mixes: list[load_mix.LoadMix]

    def arrivals(self) -> list[tuple[float, int, load_mix.LoadMix]]:
        """Return time, number within its mix and mix of each request."""
        found: list[tuple[float, int, load_mix.LoadMix]] = []
        for mix in self.mixes:
            source = random.Random(f'{self.seed} {mix.name}')  # noqa: S311
            end = mix.end_s or self.seconds
            moment = mix.start_s + source.expovariate(mix.rate)
            number = 0
            while moment < end:
                found.append((moment, number, mix))
                number += 1
                moment += source.expovariate(mix.rate)
        return sorted(found, key=lambda arrival: arrival[0])


def parse_plan(content: bytes) -> LoadPlan:
    """Return the plan of a JSON object with its fields."""
    fields = json.loads(content)
    return LoadPlan(
        seed=fields['seed'],
        seconds=fields['seconds'],
        mixes=[load_mix.LoadMix(**mix) for mix in fields['mixes']],
    )
