"""Simulation of one scenario."""

import functools
import random
from collections.abc import Callable

from medlarquay import events, ids, messages, replica, routing, states
from medlarquay.lab import (
    arrivals,
    decide,
    event_queue,
    ingress_model,
    lab_result,
    owner_model,
    scenario,
    server,
)

__all__ = ('run_scenario',)


def run_scenario(
    experiment: scenario.Scenario,
    policy: object,
    *,
    seed: int,
) -> list[lab_result.LabResult]:
    """Simulate a scenario until all of its requests have ended.

    Parameters
    ----------
    experiment : Scenario
        Servers, links and requests to simulate.
    policy : ProductPolicy or PlainPolicy
        Policy that chooses owners and admits requests.
    seed : int
        Seed of all random numbers.

    Returns
    -------
    list of LabResult
        One for each request, grouped by ingress and there in order of their
        end.
    """
    queue = event_queue.EventQueue()
    owners = {
        ids.InstanceId(local_server.name): owner_model.OwnerModel(
            local_server=local_server,
            admission_policy=decide.new_admission(policy, local_server),
            queue=queue,
            random=random.Random(f'{seed} {local_server.name}'),
        )
        for local_server in experiment.servers
    }
    ingresses = [
        _build_ingress(local_server, experiment, policy, queue, seed)
        for local_server in experiment.servers
    ]
    for ingress in ingresses:
        ingress.owners = owners
    _schedule_drains(experiment, ingresses, queue)
    rng = random.Random(seed)
    for call in arrivals.draw_arrivals(experiment, rng):
        chosen_ingress = rng.choice(ingresses)
        queue.add(
            call.sent_at, functools.partial(chosen_ingress.handle_request, call)
        )
    queue.run()
    return [result for node in ingresses for result in node.call_results]


def _build_ingress(
    local_server: server.Server,
    experiment: scenario.Scenario,
    policy: object,
    queue: event_queue.EventQueue,
    seed: int,
) -> ingress_model.IngressModel:
    ingress = ingress_model.IngressModel(
        local_server=local_server,
        experiment=experiment,
        policy=policy,
        queue=queue,
        random=random.Random(f'{seed} at {local_server.name}'),
    )
    location = routing.Location(
        instance=ids.InstanceId(local_server.name),
        region=ids.RegionName(local_server.region),
        data_centre=ids.DataCentreName(local_server.data_centre),
    )
    ingress.servers = {
        ids.InstanceId(backend_server.name): backend_server
        for backend_server in experiment.servers
    }
    services = {backend_server.service for backend_server in experiment.servers}
    ingress.candidates = {
        service: routing.group_candidates(
            [
                _instance_record(backend_server)
                for backend_server in experiment.servers
                if backend_server.service == service
            ],
            ingress_location=location,
        )
        for service in services
    }
    return ingress


def _schedule_drains(
    experiment: scenario.Scenario,
    ingresses: list[ingress_model.IngressModel],
    queue: event_queue.EventQueue,
) -> None:
    for local_server in experiment.servers:
        instance = ids.InstanceId(local_server.name)
        for span in local_server.drained:
            draining = messages.Draining(instance=instance)
            lost = events.PeerLost(instance=instance)
            queue.add(span.starts_at, _observe_at_all(ingresses, draining))
            queue.add(span.ends_at, _observe_at_all(ingresses, lost))


def _observe_at_all(
    ingresses: list[ingress_model.IngressModel],
    event: messages.Draining | events.PeerLost,
) -> Callable[[], None]:
    def observe() -> None:  # noqa: WPS430
        for ingress in ingresses:
            ingress.observe(event)

    return observe


def _instance_record(local_server: server.Server) -> replica.InstanceRecord:
    return replica.InstanceRecord(
        instance=ids.InstanceId(local_server.name),
        revision=ids.Revision(1),
        team=ids.TeamName('lab'),
        service=ids.ServiceName(local_server.service),
        region=ids.RegionName(local_server.region),
        data_centre=ids.DataCentreName(local_server.data_centre),
        host=local_server.name,
        caller_port=1,
        peer_port=2,
        slots=local_server.slots,
        state=states.InstanceState.LIVE,
    )
