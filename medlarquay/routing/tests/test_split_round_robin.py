"""Distribution of the requests of a split route by weight."""

import collections

import pytest

from medlarquay import ids, routing, settings, snapshots, states

_TEAM = ids.TeamName('team')


def _service(name: str) -> snapshots.Service:
    return snapshots.Service(
        team=_TEAM,
        parameters=settings.ServiceSettings(
            name=ids.ServiceName(name),
            floors=(),
            queue_limit=1,
            cold_start_ms=0,
        ),
    )


def _route(**weights: int) -> snapshots.Route:
    services = {name: _service(name) for name in weights}
    first = next(iter(services.values()))
    return snapshots.Route(
        parameters=settings.RouteSettings(
            host='h',
            path_prefix='/',
            service=first.parameters.name,
            rank=states.Rank.NORMAL,
            timeout_ms=1000,
            idempotent_methods=(),
            split=tuple(
                settings.WeightedService(
                    service=ids.ServiceName(name),
                    weight=weight,
                )
                for name, weight in weights.items()
            ),
        ),
        prefix=b'/',
        idempotent_methods=frozenset(),
        service=first,
        split=tuple(
            (services[name], weight) for name, weight in weights.items()
        ),
    )


@pytest.mark.parametrize(
    'weights',
    [{'a': 90, 'b': 10}, {'a': 1, 'b': 1}, {'a': 3, 'b': 5, 'c': 2}],
)
def test_the_shares_are_exact_after_one_round(weights: dict[str, int]) -> None:
    """Guards against a service that gets less than its configured share."""
    route = _route(**weights)
    round_robin = routing.SplitRoundRobin()
    counted = collections.Counter(
        round_robin.next_service(route).parameters.name
        for _ in range(sum(weights.values()))
    )
    assert counted == weights


def test_smaller_share_is_spread_evenly() -> None:
    """Guards against bursts that overload a service with a small share."""
    route = _route(a=9, b=1)
    round_robin = routing.SplitRoundRobin()
    chosen = [
        round_robin.next_service(route).parameters.name for _ in range(40)
    ]
    positions = [
        position for position, name in enumerate(chosen) if name == 'b'
    ]
    assert [
        later - sooner for sooner, later in zip(positions, positions[1:])
    ] == [
        10,
        10,
        10,
    ]
