"""Plans of the soak."""

import pytest

from bench.soak import build_plan, faults, topology


def test_a_seed_gives_the_same_plan_again() -> None:
    """Guards against a failure that its seed does not bring back."""
    plans = [
        build_plan.build_plan(seed=3, seconds=60, nodes=8) for _ in range(2)
    ]
    assert plans[0] == plans[1]


@pytest.mark.parametrize('seed', range(20))
def test_a_plan_begins_with_a_stop_on_full_links(seed: int) -> None:
    """Guards against a soak that leaves out the incident."""
    plan = build_plan.build_plan(seed=seed, seconds=40, nodes=8)
    first = plan.faults[0]
    assert isinstance(first, faults.PlannedStop)
    assert first.at == plan.fault_free_s
    assert first.name in plan.names
    assert plan.faults[1].at > first.at + topology.DRAIN_S


def test_plans_have_every_kind_of_fault() -> None:
    """Guards against a kind of fault that no seed injects."""
    found = {
        type(fault).__name__
        for seed in range(20)
        for fault in build_plan.build_plan(
            seed=seed,
            seconds=40,
            nodes=8,
        ).faults
    }
    kinds = {name for name in faults.__all__ if 'Harm' not in name}
    assert found == kinds - {'Fault'}
