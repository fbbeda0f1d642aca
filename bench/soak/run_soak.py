"""One soak from start to end."""

from bench import http_json, load_runner
from bench.soak import (
    inject,
    soak,
    soak_cluster,
    soak_load,
    soak_plan,
    soak_record,
    topology,
)

__all__ = ('run_soak',)


def run_soak(
    plan: soak_plan.SoakPlan,
    *,
    tell_rate: bool = True,
    checkout: str = '',
    logs: str = '',
) -> soak_record.SoakRecord:
    """Run a plan with processes of its own; return what was seen.

    Parameters
    ----------
    plan : SoakPlan
        What to do.
    tell_rate : bool
        Whether the nodes know the rate of their link.
    checkout : str
        Directory of the version of the nodes; empty for the current one.
    logs : str
        Directory to which the output of all processes is copied.
    """
    with soak_cluster.SoakCluster(
        tell_rate=tell_rate,
        checkout=checkout,
    ) as running:
        try:
            return _run(plan, running)
        finally:
            if logs:
                running.keep_output(logs)


def _run(
    plan: soak_plan.SoakPlan,
    running: soak_cluster.SoakCluster,
) -> soak_record.SoakRecord:
    instances = topology.build_instances(len(plan.names))
    running.publish_team(topology.TEAM, topology.build_document(0))
    running.add(instances)
    hosts = [topology.host_of(name) for name in topology.SERVICES]
    running.wait_ready(hosts)
    caller = running.start_caller()
    nodes = {one.name: one.caller_address for one in instances}
    sent = soak_load.build_load(
        seed=plan.seed,
        seconds=plan.seconds,
        versions=plan.versions,
        nodes=nodes,
    )
    under_way = soak.Soak(running=running)
    until = load_runner.start_load(caller, sent)
    inject.inject(plan, under_way)
    told = load_runner.finish_load(caller, until)
    return soak_record.SoakRecord(
        plan=plan,
        load=sent,
        began_at=under_way.began_at,
        addresses={address: name for name, address in nodes.items()},
        lives=under_way.lives,
        told=told,
        ran=running.runs(),
        unready=_wait_ready(running, hosts),
        stray=http_json.request_json(f'{caller}/-/state')['stray'],
    )


def _wait_ready(
    running: soak_cluster.SoakCluster,
    hosts: list[str],
) -> str:
    try:
        running.wait_ready(hosts)
    except RuntimeError as failure:
        return str(failure)
    return ''
