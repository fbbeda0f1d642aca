"""Scheduling of the faults of a plan."""

import time

from bench.soak import fault_actions, node_supervisor, phase, soak_plan, step

__all__ = ('inject',)

_POLL_INTERVAL_S = 0.02
# A node that was asked to stop exits by its drain deadline and is ready again
# within seconds of its restart.
_MAX_RECOVERY_S = 20


def inject(
    plan: soak_plan.SoakPlan, supervisor: node_supervisor.NodeSupervisor
) -> None:
    """Inject and remove the faults of a plan at their times.

    Blocks until the load has ended and all nodes are up again, at most
    20 s after the end of the load.
    """
    steps = _steps(plan)
    load_end_s = plan.seconds
    elapsed_s = float(0)
    while elapsed_s < load_end_s or not supervisor.all_nodes_up():
        elapsed_s = time.time() - supervisor.began_at
        if elapsed_s > load_end_s + _MAX_RECOVERY_S:
            break
        while steps and steps[0].at <= elapsed_s:
            _execute(steps.pop(0), supervisor)
        supervisor.check_nodes()
        time.sleep(_POLL_INTERVAL_S)


def _steps(plan: soak_plan.SoakPlan) -> list[step.Step]:
    begins = [
        step.Step(at=fault.at, phase=phase.Phase.BEGIN, fault=fault)
        for fault in plan.faults
    ]
    ends = [
        step.Step(
            at=max(fault.at, fault.end), phase=phase.Phase.END, fault=fault
        )
        for fault in plan.faults
    ]
    return sorted(begins + ends, key=lambda planned: planned.at)


def _execute(
    due_step: step.Step, supervisor: node_supervisor.NodeSupervisor
) -> None:
    if due_step.phase is phase.Phase.BEGIN:
        fault_actions.begin(due_step.fault, supervisor)
    else:
        fault_actions.finish(due_step.fault, supervisor)
