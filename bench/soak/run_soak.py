"""One soak from start to end."""

from bench import http_json, load_runner
from bench.soak import (
    inject,
    node_supervisor,
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
    link_rate_known: bool = True,
    checkout: str = '',
    logs: str = '',
) -> soak_record.SoakRecord:
    """Run a plan with processes of its own; return what was seen.

    Parameters
    ----------
    plan : SoakPlan
        What to do.
    link_rate_known : bool
        Whether the nodes know the rate of their link.
    checkout : str
        Directory of the version of the nodes; empty for the current one.
    logs : str
        Directory to which the output of all processes is copied.
    """
    with soak_cluster.SoakCluster(
        link_rate_known=link_rate_known,
        checkout=checkout,
    ) as cluster:
        try:
            return _run(plan, cluster)
        finally:
            if logs:
                cluster.copy_output(logs)


def _run(
    plan: soak_plan.SoakPlan,
    cluster: soak_cluster.SoakCluster,
) -> soak_record.SoakRecord:
    instances = topology.build_instances(len(plan.names))
    cluster.publish_team(topology.TEAM, topology.build_document(0))
    cluster.add(instances)
    hosts = [topology.host_of(name) for name in topology.SERVICES]
    cluster.wait_ready(hosts)
    caller = cluster.start_caller()
    nodes = {one.name: one.caller_address for one in instances}
    sent = soak_load.build_load(
        seed=plan.seed,
        seconds=plan.seconds,
        last_version=plan.last_version,
        nodes=nodes,
    )
    supervisor = node_supervisor.NodeSupervisor(cluster=cluster)
    until = load_runner.start_load(caller, sent)
    inject.inject(plan, supervisor)
    caller_entries = load_runner.finish_load(caller, until)
    return soak_record.SoakRecord(
        plan=plan,
        load=sent,
        began_at=supervisor.began_at,
        names_by_address={address: name for name, address in nodes.items()},
        lifetimes=supervisor.lifetimes,
        caller_entries=caller_entries,
        run_entries=cluster.runs(),
        unready_reason=_wait_ready(cluster, hosts),
        stray_answers=http_json.ask(f'{caller}/-/state')['stray'],
    )


def _wait_ready(
    cluster: soak_cluster.SoakCluster,
    hosts: list[str],
) -> str:
    try:
        cluster.wait_ready(hosts)
    except RuntimeError as failure:
        return str(failure)
    return ''
