"""Tests of arrival times and keys of the caller double."""

import random
import uuid

from medlarquay import keys
from medlarquay.testing import load_mix, load_plan, make_key


def _plan(seed: int) -> load_plan.LoadPlan:
    mix = load_mix.LoadMix(name='a', nodes=['n'], host='h', rate=100)
    return load_plan.LoadPlan(seed=seed, seconds=10, mixes=[mix])


def test_arrivals_follow_the_seed() -> None:
    """Guards against runs with the same seed that differ."""
    assert _plan(1).arrivals() == _plan(1).arrivals()
    assert _plan(1).arrivals() != _plan(2).arrivals()
    assert 900 < len(_plan(1).arrivals()) < 1100


def test_key_carries_its_creation_time() -> None:
    """Guards against keys that owners refuse because of their unknown age."""
    key = make_key.make_key(unix_time=1700000000, randomness=random.Random(1))
    assert uuid.UUID(key).version == 7
    assert keys.parse_key(key).created_at == 1700000000
