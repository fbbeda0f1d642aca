"""Injection of the faults of a plan at their times."""

import time

from bench.soak import act, phase, soak, soak_plan, step

__all__ = ('inject',)

_TICK_S = 0.02
# A node that was asked to stop is gone by its drain deadline and serves
# again within seconds.
_SETTLE_S = 20


def inject(plan: soak_plan.SoakPlan, under_way: soak.Soak) -> None:
    """Inject the faults of a plan; return once the load and they are over."""
    steps = _steps(plan)
    end = plan.seconds
    passed_s = float(0)
    while passed_s < end or not under_way.all_up():
        passed_s = time.time() - under_way.began_at
        if passed_s > end + _SETTLE_S:
            break
        while steps and steps[0].at <= passed_s:
            _take(steps.pop(0), under_way)
        under_way.watch()
        time.sleep(_TICK_S)


def _steps(plan: soak_plan.SoakPlan) -> list[step.Step]:
    begins = [
        step.Step(at=one.at, phase=phase.Phase.BEGIN, fault=one)
        for one in plan.faults
    ]
    ends = [
        step.Step(at=max(one.at, one.end), phase=phase.Phase.END, fault=one)
        for one in plan.faults
    ]
    return sorted(begins + ends, key=lambda found: found.at)


def _take(found: step.Step, under_way: soak.Soak) -> None:
    if found.phase is phase.Phase.BEGIN:
        act.begin(found.fault, under_way)
    else:
        act.finish(found.fault, under_way)
