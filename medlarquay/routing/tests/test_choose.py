"""Choice of the owner by zone, wait and state."""

import collections

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from medlarquay import events, ids, messages, routing, states
from medlarquay.routing.tests import fleet

_LOCAL = (fleet.backend('a2'), fleet.backend('a3'), fleet.backend('a4'))
_NEAR = fleet.backend('b1')
_FAR = fleet.backend('c1', region='south')
_CHECK = ids.RouteName('source-verify')
_BUNDLE = ids.RouteName('archive-bundle')
_LIE = messages.LoadState(slots=0, running=9999, queued=9999, service_time=99)


def _fill(state: routing.RoutingState, name: str, calls: int) -> None:
    for _ in range(calls):
        routing.observe(
            routing.CallSent(instance=ids.InstanceId(name)),
            state.observations,
            0,
        )


def _answer(
    state: routing.RoutingState,
    name: str,
    load: messages.LoadState | None,
    now: float = 0,
) -> None:
    routing.observe(
        routing.AnswerObserved(
            instance=ids.InstanceId(name),
            latency=0.005,
            load=load,
        ),
        state.observations,
        now,
    )


def _refuse(
    state: routing.RoutingState,
    name: str,
    reason: states.RefusalReason,
    now: float = 0,
) -> None:
    routing.observe(
        routing.RefusalObserved(
            instance=ids.InstanceId(name),
            reason=reason,
            load=None,
        ),
        state.observations,
        now,
    )


def _lose(
    state: routing.RoutingState, name: str, now: float, times: int
) -> None:
    for _ in range(times):
        routing.observe(
            routing.LossObserved(instance=ids.InstanceId(name)),
            state.observations,
            now,
        )


def test_nearest_zone_with_a_free_slot_is_used() -> None:
    """Guards against paying for a link while a near server is free."""
    state = fleet.routing_state()
    for _ in range(50):
        assert fleet.pick(state, _FAR, _NEAR, *_LOCAL) in {'a2', 'a3', 'a4'}
    assert fleet.pick(state, _FAR, _NEAR) == 'b1'


def test_spill_over_weighs_the_link_against_the_wait() -> None:
    """Guards against a 60 ms detour around a wait of a few milliseconds."""
    state = fleet.routing_state()
    _answer(state, 'a2', None)
    _fill(state, 'a2', 2)
    assert fleet.pick(state, _LOCAL[0], _NEAR) == 'b1'
    assert fleet.pick(state, _LOCAL[0], _FAR) == 'a2'
    _fill(state, 'a2', 60)
    assert fleet.pick(state, _LOCAL[0], _FAR) == 'c1'


def test_own_server_is_preferred_only_with_a_free_slot() -> None:
    """Guards against an ingress that overloads the server beside it."""
    state = fleet.routing_state()
    own = fleet.backend('a1')
    assert {fleet.pick(state, own, *_LOCAL) for _ in range(30)} == {'a1'}
    _fill(state, 'a1', 2)
    assert fleet.pick(state, own, *_LOCAL) != 'a1'


def test_calls_spread_by_two_choices() -> None:
    """Guards against a herd of calls on one server."""
    state = fleet.routing_state()
    counts: collections.Counter[str | None] = collections.Counter()
    for _ in range(60):
        found = fleet.pick(state, *_LOCAL)
        _fill(state, str(found), 1)
        counts[found] += 1
    assert max(counts.values()) - min(counts.values()) <= 2


def test_leaving_and_draining_servers_get_no_new_work() -> None:
    """Guards against work lost on a backend server that is stopping."""
    state = fleet.routing_state()
    leaving = fleet.backend('a5', state=states.InstanceState.LEAVING)
    routing.observe(
        messages.Draining(instance=ids.InstanceId('a2')),
        state.observations,
        0,
    )
    _refuse(state, 'a3', states.RefusalReason.DRAINING)
    found = {fleet.pick(state, leaving, *_LOCAL, now=30) for _ in range(50)}
    assert found == {'a4'}
    assert fleet.pick(state, leaving, _LOCAL[0], now=30) is None


def test_a_new_run_ends_the_draining_of_the_earlier_one() -> None:
    """Guards against a restarted node that stays without work."""
    state = fleet.routing_state()
    routing.observe(
        messages.Draining(instance=ids.InstanceId('a2')),
        state.observations,
        0,
    )
    routing.observe(
        events.PeerGreeted(
            instance=ids.InstanceId('a2'),
            incarnation=ids.Incarnation('2'),
        ),
        state.observations,
        1,
    )
    assert fleet.pick(state, _LOCAL[0], now=1) == 'a2'


def test_the_end_of_a_draining_node_ends_its_draining() -> None:
    """Guards against a restarted node that is left out for a minute.

    A node that is not chosen gets no link, so no greeting ever tells that
    its next run takes work.
    """
    state = fleet.routing_state()
    node = ids.InstanceId('a2')
    routing.observe(
        messages.Draining(instance=node),
        state.observations,
        0,
    )
    routing.observe(events.PeerLost(instance=node), state.observations, 3)
    assert fleet.pick(state, _LOCAL[0], now=3.5) is None
    assert fleet.pick(state, _LOCAL[0], now=4.1) == 'a2'


def _report(state: routing.RoutingState, name: str, seconds: float) -> None:
    load = messages.LoadState(
        slots=2,
        running=0,
        queued=0,
        service_time=seconds,
    )
    routing.observe(
        routing.AnswerObserved(
            instance=ids.InstanceId(name),
            latency=seconds,
            load=load,
        ),
        state.observations,
        0,
    )


def test_a_slow_server_loses_what_it_would_answer_too_late() -> None:
    """Guards against calls that fail at a slow server next to them."""
    state = fleet.routing_state()
    _report(state, 'a2', 0.4)
    _report(state, 'c1', 0.04)
    assert fleet.pick(state, _LOCAL[0], _FAR, due=0.2) == 'c1'
    assert fleet.pick(state, _LOCAL[0], _FAR, due=0.5) == 'a2'
    assert fleet.pick(state, _LOCAL[0], _FAR, now=4, due=4.2) == 'a2'


def test_a_little_slower_server_keeps_its_work() -> None:
    """Guards against work sent to another region that gains no time."""
    state = fleet.routing_state()
    _report(state, 'a2', 0.08)
    _report(state, 'c1', 0.04)
    assert fleet.pick(state, _LOCAL[0], _FAR, due=0.06) == 'a2'


def test_a_lost_link_makes_no_node_drain() -> None:
    """Guards against work taken from a node whose link was only reset."""
    state = fleet.routing_state()
    _answer(state, 'a2', None)
    routing.observe(
        events.PeerLost(instance=ids.InstanceId('a2')),
        state.observations,
        1,
    )
    assert fleet.pick(state, _LOCAL[0], now=1) == 'a2'


def test_a_server_that_is_back_is_tried_within_seconds() -> None:
    """Guards against capacity left unused long after a cut has ended."""
    state = fleet.routing_state()
    now: float = 0
    for _ in range(8):
        _lose(state, 'a2', now, 3)
        found = state.observations.for_instance(ids.InstanceId('a2'))
        assert found.ejected_until - now <= 8
        now = found.ejected_until


def test_ejection_doubles_and_ends_with_an_answer() -> None:
    """Guards against a broken server that is tried again too often."""
    state = fleet.routing_state()
    _lose(state, 'a2', 0, 2)
    assert {fleet.pick(state, *_LOCAL) for _ in range(50)} >= {'a2'}
    now = 0
    for period in (1, 2, 4):
        _lose(state, 'a2', now, 3)
        assert {
            fleet.pick(state, *_LOCAL, now=now + period - 0.1)
            for _ in range(50)
        } == {'a3', 'a4'}
        now += period
        assert 'a2' in {fleet.pick(state, *_LOCAL, now=now) for _ in range(50)}
    _answer(state, 'a2', None, now)
    _lose(state, 'a2', now, 2)
    assert 'a2' in {fleet.pick(state, *_LOCAL, now=now) for _ in range(50)}


def test_an_unreachable_server_is_ejected_at_once() -> None:
    """Guards against a call wasted on each link to a crashed node."""
    state = fleet.routing_state()
    _refuse(state, 'a2', states.RefusalReason.BACKEND_DOWN)
    assert 'a2' in {fleet.pick(state, *_LOCAL) for _ in range(50)}
    _refuse(state, 'a3', states.RefusalReason.OWNER_UNREACHABLE)
    assert 'a3' not in {fleet.pick(state, *_LOCAL) for _ in range(50)}


@pytest.mark.parametrize('ejected', [2, 3])
def test_all_are_used_when_over_half_are_ejected(ejected: int) -> None:
    """Guards against a fault of this ingress that empties a service."""
    state = fleet.routing_state()
    for backend in _LOCAL[:ejected]:
        _lose(state, backend.instance, 0, 3)
    found = {fleet.pick(state, *_LOCAL, now=0.5) for _ in range(50)}
    assert found == {'a2', 'a3', 'a4'}


def test_a_lying_load_signal_moves_no_call_to_another_region() -> None:
    """Guards against a bad load signal that empties a service."""
    state = fleet.routing_state()
    for backend in _LOCAL:
        _answer(state, backend.instance, _LIE)
    found = {fleet.pick(state, _FAR, *_LOCAL) for _ in range(50)}
    assert found == {'a2', 'a3', 'a4'}
    # One liar among honest servers keeps its place when those are busy.
    _fill(state, 'a3', 9)
    _fill(state, 'a4', 9)
    assert 'a2' in {fleet.pick(state, *_LOCAL) for _ in range(50)}


def test_an_old_report_is_not_believed() -> None:
    """Guards against a server avoided because of a load long gone."""
    state = fleet.routing_state()
    for backend in _LOCAL[1:]:
        _answer(state, backend.instance, _LIE, 0)
    pair = _LOCAL[:2]
    assert {fleet.pick(state, *pair, now=0.1) for _ in range(50)} == {'a2'}
    assert len({fleet.pick(state, *pair, now=1.1) for _ in range(50)}) == 2


def test_a_refusal_for_load_counts_before_any_report() -> None:
    """Guards against a report of free slots that hides refusals."""
    state = fleet.routing_state()
    idle = messages.LoadState(slots=2, running=0, queued=0, service_time=0.01)
    _answer(state, 'a2', idle)
    _refuse(state, 'a2', states.RefusalReason.QUEUE_FULL)
    assert {fleet.pick(state, *_LOCAL) for _ in range(50)} == {'a3', 'a4'}


def test_observations_are_dropped_after_a_pause() -> None:
    """Guards against decisions on what was true before a pause."""
    state = fleet.routing_state()
    _fill(state, 'a2', 5)
    _lose(state, 'a2', 0, 3)
    seen = state.observations
    routing.observe(events.Tick(now=0.5, late=0.9), seen, 0.5)
    assert seen.for_instance(ids.InstanceId('a2')).ejected_until == 1
    routing.observe(events.Tick(now=0.5, late=1.1), seen, 0.5)
    kept = seen.for_instance(ids.InstanceId('a2'))
    assert (kept.ejected_until, kept.in_flight) == (0, 2)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    history=st.lists(
        st.tuples(st.sampled_from(['a2', 'b1']), st.integers(0, 4)),
        max_size=40,
    ),
    seed=st.integers(0, 99),
)
def test_a_service_is_never_empty(
    history: list[tuple[str, int]],
    seed: int,
) -> None:
    """Guards against any history but draining that leaves no owner."""
    state = fleet.routing_state(seed=seed)
    for step, (name, kind) in enumerate(history):
        now = step / 100
        if kind == 0:
            _fill(state, name, 3)
        elif kind == 1:
            _answer(state, name, _LIE, now)
        elif kind == 2:
            _refuse(state, name, states.RefusalReason.SHED, now)
        else:
            _lose(state, name, now, 3)
    assert fleet.pick(state, _NEAR, _LOCAL[0], now=0.4) is not None


def test_a_server_that_fails_part_of_its_calls_gets_fewer() -> None:
    """Guards against a server that fails at random with a good health.

    Failures that come between answers never eject it.
    """
    state = fleet.routing_state()
    for _ in range(10):
        for failed in (True, False):
            routing.observe(
                routing.AnswerObserved(
                    instance=ids.InstanceId('a2'),
                    latency=0.01,
                    load=None,
                    failed=failed,
                ),
                state.observations,
                0,
            )
    now = {fleet.pick(state, *_LOCAL) for _ in range(50)}
    assert now == {'a3', 'a4'}
    later = {fleet.pick(state, *_LOCAL, now=10) for _ in range(50)}
    assert later == {'a2', 'a3', 'a4'}


def _observe_large(
    state: routing.RoutingState,
    name: str,
    *,
    link_wait: float,
) -> None:
    routing.observe(
        routing.AnswerObserved(
            instance=ids.InstanceId(name),
            latency=2,
            load=messages.LoadState(
                slots=2,
                running=0,
                queued=0,
                service_time=0.1,
                link_wait=link_wait,
            ),
            route=_BUNDLE,
            large=True,
        ),
        state.observations,
        0,
    )


def test_large_answers_go_where_the_link_has_room() -> None:
    """Guards against bundles that pile up on one machine's link."""
    state = fleet.routing_state()
    full, near = fleet.backend('a2'), fleet.backend('a3')
    other_centre = fleet.backend('b1')
    _observe_large(state, 'a2', link_wait=1.5)
    _observe_large(state, 'a3', link_wait=0.5)
    _observe_large(state, 'b1', link_wait=0)
    assert fleet.pick(state, full, near, route=_BUNDLE) == 'a3'
    found = fleet.pick(state, full, other_centre, route=_BUNDLE, due=1)
    assert found == 'b1'
    assert fleet.pick(state, full, other_centre, due=1) == 'a2'
    # The wait that was reported has passed.
    found = fleet.pick(state, full, other_centre, now=2, route=_BUNDLE, due=3)
    assert found == 'a2'


@pytest.mark.parametrize('link_wait', [0.5, 1.5])
def test_large_answers_stay_in_the_region(link_wait: float) -> None:
    """Guards against bundles that cross regions, which is paid by volume."""
    state = fleet.routing_state()
    near, far = fleet.backend('a2'), fleet.backend('c1', region='south')
    _observe_large(state, 'a2', link_wait=link_wait)
    _observe_large(state, 'c1', link_wait=0)
    assert fleet.pick(state, near, far, route=_BUNDLE, due=1) == 'a2'
    # It has refused the call, for its link, and is not asked again.
    tried = (near.instance,)
    found = fleet.pick(state, near, far, route=_BUNDLE, due=1, excluded=tried)
    assert found is None
    assert fleet.pick(state, near, far, due=1, excluded=tried) == 'c1'


@pytest.mark.parametrize(
    'reason',
    [states.RefusalReason.OWNER_UNREACHABLE, states.RefusalReason.DRAINING],
)
def test_large_answers_leave_a_region_without_owners(
    reason: states.RefusalReason,
) -> None:
    """Guards against bundles refused because a data centre is lost."""
    state = fleet.routing_state()
    near, far = fleet.backend('a2'), fleet.backend('c1', region='south')
    _observe_large(state, 'c1', link_wait=0)
    _refuse(state, 'a2', reason)
    assert fleet.pick(state, near, far, route=_BUNDLE) == 'c1'


def test_a_large_call_leaves_a_region_whose_only_server_is_down() -> None:
    """Guards against bundles refused while another region can serve them."""
    state = fleet.routing_state()
    near, far = fleet.backend('a2'), fleet.backend('c1', region='south')
    _observe_large(state, 'c1', link_wait=0)
    _refuse(state, 'a2', states.RefusalReason.BACKEND_DOWN)
    tried = (near.instance,)
    found = fleet.pick(state, near, far, route=_BUNDLE, excluded=tried)
    assert found == 'c1'


def test_the_time_of_large_answers_is_not_that_of_short_calls() -> None:
    """Guards against short calls that are given up since bundles are slow."""
    state = fleet.routing_state()
    backend = fleet.backend('a2')
    _answer(state, 'a2', None)
    _observe_large(state, 'a2', link_wait=1.5)
    short = routing.expected_time(backend, state, 0, route=_CHECK)
    bundle = routing.expected_time(backend, state, 0, route=_BUNDLE)
    assert short == pytest.approx(0.005)
    assert bundle == pytest.approx(1.505)


def test_the_last_owner_of_the_region_knows_that_it_is_the_last() -> None:
    """Guards against bundles refused as late although nobody else is asked."""
    state = fleet.routing_state()
    near, far = fleet.backend('a2'), fleet.backend('c1', region='south')
    _observe_large(state, 'a2', link_wait=0.5)
    candidates = routing.group_candidates((near, far), place=fleet.PLACE)
    for route, owners in ((_BUNDLE, 1), (_CHECK, 2)):
        query = routing.AnyOwnerQuery(candidates=candidates, route=route)
        assert routing.count_eligible_owners(query, state, 0) == owners
