"""Injection of the faults of a plan at their times."""

import time

from bench.soak import fault_actions, node_supervisor, phase, soak_plan, step

__all__ = ('inject',)

_TICK_S = 0.02
# A node that was asked to stop is gone by its drain deadline and serves
# again within seconds.
_SETTLE_S = 20


def inject(
    plan: soak_plan.SoakPlan, supervisor: node_supervisor.NodeSupervisor
) -> None:
    """Inject the faults of a plan; return once the load and they are over."""
    steps = _steps(plan)
    end = plan.seconds
    passed_s = float(0)
    while passed_s < end or not supervisor.all_nodes_up():
        passed_s = time.time() - supervisor.began_at
        if passed_s > end + _SETTLE_S:
            break
        while steps and steps[0].at <= passed_s:
            _take(steps.pop(0), supervisor)
        supervisor.check_nodes()
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


def _take(found: step.Step, supervisor: node_supervisor.NodeSupervisor) -> None:
    if found.phase is phase.Phase.BEGIN:
        fault_actions.begin(found.fault, supervisor)
    else:
        fault_actions.finish(found.fault, supervisor)
