"""Plan of a load for the caller double."""

import dataclasses
import json
import random

from medlarquay.testing import load_mix

__all__ = ('LoadPlan', 'parse_plan')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """Plan of a load for the caller double.

    Attributes
    ----------
    seed : int
        Seed of the arrival times and of the random part of the keys.
    seconds : float
        Duration of the load.
    mixes : list of LoadMix
        Kinds of requests.
    """

    seed: int
    seconds: float
    mixes: list[load_mix.LoadMix]

    def arrivals(self) -> list[tuple[float, int, load_mix.LoadMix]]:
        """Return the requests in order of their arrival.

        Returns
        -------
        list of tuple
            Arrival in seconds from the start, number within the mix, and
            mix of each request.
        """
        arrivals: list[tuple[float, int, load_mix.LoadMix]] = []
        for mix in self.mixes:
            randomness = random.Random(f'{self.seed} {mix.name}')  # noqa: S311
            end = mix.end_s or self.seconds
            arrives_at = mix.start_s + randomness.expovariate(mix.rate)
            number = 0
            while arrives_at < end:
                arrivals.append((arrives_at, number, mix))
                number += 1
                arrives_at += randomness.expovariate(mix.rate)
        return sorted(arrivals, key=lambda arrival: arrival[0])


def parse_plan(content: bytes) -> LoadPlan:
    """Parse a plan from a JSON object with its fields."""
    fields = json.loads(content)
    return LoadPlan(
        seed=fields['seed'],
        seconds=fields['seconds'],
        mixes=[load_mix.LoadMix(**mix) for mix in fields['mixes']],
    )
