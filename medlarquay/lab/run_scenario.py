"""One run of a scenario."""

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
    world: scenario.Scenario,
    policy: object,
    *,
    seed: int,
) -> list[lab_result.LabResult]:
    """Play a scenario in simulated time.

    Parameters
    ----------
    world : Scenario
        What is played.
    policy : ProductPolicy or PlainPolicy
        The decision code.
    seed : int
        Of all random numbers.

    Returns
    -------
    list of LabResult
        One for each request, in order of their end.
    """
    time = event_queue.EventQueue()
    owners = {
        ids.InstanceId(own.name): owner_model.OwnerModel(
            own=own,
            policy=decide.new_admission(policy, own),
            time=time,
            random=random.Random(f'{seed} {own.name}'),
        )
        for own in world.servers
    }
    ingresses = [
        _ingress(own, world, policy, time, seed) for own in world.servers
    ]
    for ingress in ingresses:
        ingress.owners = owners
    _plan_drains(world, ingresses, time)
    source = random.Random(seed)
    for call in arrivals.draw_arrivals(world, source):
        taker = source.choice(ingresses)
        time.add(call.sent_at, functools.partial(taker.receive, call))
    time.run()
    return [found for node in ingresses for found in node.ended]


def _ingress(
    own: server.Server,
    world: scenario.Scenario,
    policy: object,
    time: event_queue.EventQueue,
    seed: int,
) -> ingress_model.IngressModel:
    ingress = ingress_model.IngressModel(
        own=own,
        world=world,
        policy=policy,
        time=time,
        random=random.Random(f'{seed} at {own.name}'),
    )
    place = routing.Location(
        instance=ids.InstanceId(own.name),
        region=ids.RegionName(own.region),
        data_centre=ids.DataCentreName(own.data_centre),
    )
    ingress.servers = {
        ids.InstanceId(found.name): found for found in world.servers
    }
    services = {found.service for found in world.servers}
    ingress.candidates = {
        service: routing.group_candidates(
            [
                _record(found)
                for found in world.servers
                if found.service == service
            ],
            place=place,
        )
        for service in services
    }
    return ingress


def _plan_drains(
    world: scenario.Scenario,
    ingresses: list[ingress_model.IngressModel],
    time: event_queue.EventQueue,
) -> None:
    for own in world.servers:
        instance = ids.InstanceId(own.name)
        for span in own.drained:
            draining = messages.Draining(instance=instance)
            lost = events.PeerLost(instance=instance)
            time.add(span.starts_at, _telling(ingresses, draining))
            time.add(span.ends_at, _telling(ingresses, lost))


def _telling(
    ingresses: list[ingress_model.IngressModel],
    event: messages.Draining | events.PeerLost,
) -> Callable[[], None]:
    def tell() -> None:  # noqa: WPS430
        for ingress in ingresses:
            ingress.observe(event)

    return tell


def _record(own: server.Server) -> replica.InstanceRecord:
    return replica.InstanceRecord(
        instance=ids.InstanceId(own.name),
        revision=ids.Revision(1),
        team=ids.TeamName('lab'),
        service=ids.ServiceName(own.service),
        region=ids.RegionName(own.region),
        data_centre=ids.DataCentreName(own.data_centre),
        host=own.name,
        caller_port=1,
        peer_port=2,
        slots=own.slots,
        state=states.InstanceState.LIVE,
    )
