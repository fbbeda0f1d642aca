"""Execution of one soak run."""

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
    """Start a cluster, run a plan under load and stop the cluster.

    Parameters
    ----------
    plan : SoakPlan
        Faults to inject, and length and seed of the load.
    link_rate_known : bool
        Whether the nodes are started with the rate of their link
        (``--link-mbps``).
    checkout : str
        Directory of the source tree that the nodes run from; empty for the
        current one.
    logs : str
        Directory to which the output of all processes is copied; empty for
        none.

    Returns
    -------
    SoakRecord
        Observations that the checks work on.
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
    nodes = {added.name: added.caller_address for added in instances}
    load = soak_load.build_load(
        seed=plan.seed,
        seconds=plan.seconds,
        last_version=plan.last_version,
        nodes=nodes,
    )
    supervisor = node_supervisor.NodeSupervisor(cluster=cluster)
    load_deadline = load_runner.start_load(caller, load)
    inject.inject(plan, supervisor)
    caller_entries = load_runner.finish_load(caller, load_deadline)
    return soak_record.SoakRecord(
        plan=plan,
        load=load,
        began_at=supervisor.began_at,
        names_by_address={address: name for name, address in nodes.items()},
        lifetimes=supervisor.lifetimes,
        caller_entries=caller_entries,
        run_entries=cluster.runs(),
        unready_reason=_wait_until_ready(cluster, hosts),
        stray_answers=http_json.request_json(f'{caller}/-/state')['stray'],
    )


def _wait_until_ready(
    cluster: soak_cluster.SoakCluster,
    hosts: list[str],
) -> str:
    """Return why a node did not become ready; empty if all did."""
    try:
        cluster.wait_ready(hosts)
    except RuntimeError as failure:
        return str(failure)
    return ''
