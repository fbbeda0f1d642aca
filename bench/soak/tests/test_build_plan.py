"""Tests of the fault plans."""

import pytest

from bench.soak import build_plan, faults, topology


def test_plan_is_the_same_for_each_seed() -> None:
    """Guards against a failure whose seed does not reproduce its plan."""
    plans = [
        build_plan.build_plan(seed=3, seconds=60, nodes=8) for _ in range(2)
    ]
    assert plans[0] == plans[1]


@pytest.mark.parametrize('seed', range(20))
def test_plan_begins_with_planned_stop_alone(seed: int) -> None:
    """Guards against a soak without the fault of the incident of 2026-12-04.

    That was a planned stop on full links, with no other fault present.
    """
    plan = build_plan.build_plan(seed=seed, seconds=40, nodes=8)
    first = plan.faults[0]
    assert isinstance(first, faults.PlannedStop)
    assert first.at == plan.fault_free_s
    assert first.name in plan.names
    assert plan.faults[1].at > first.at + topology.DRAIN_S


def test_plans_contain_every_fault_type() -> None:
    """Guards against a type of fault that no plan contains."""
    drawn_types = {
        type(fault).__name__
        for seed in range(20)
        for fault in build_plan.build_plan(
            seed=seed,
            seconds=40,
            nodes=8,
        ).faults
    }
    fault_types = {name for name in faults.__all__ if 'Harm' not in name}
    assert drawn_types == fault_types - {'Fault'}
