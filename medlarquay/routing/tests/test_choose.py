"""Selection of an owner by zone, wait and state."""

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
_FALSE_LOAD = messages.LoadState(
    slots=0, running=9999, queued=9999, service_time=99
)


def _send_calls(state: routing.RoutingState, name: str, calls: int) -> None:
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


def _lose_calls(
    state: routing.RoutingState, name: str, now: float, times: int
) -> None:
    for _ in range(times):
        routing.observe(
            routing.LossObserved(instance=ids.InstanceId(name)),
            state.observations,
            now,
        )


def test_nearest_zone_with_a_free_slot_is_used() -> None:
    """Guards against a link round trip while a near server has a free slot."""
    state = fleet.routing_state()
    for _ in range(50):
        assert fleet.pick(state, _FAR, _NEAR, *_LOCAL) in {'a2', 'a3', 'a4'}
    assert fleet.pick(state, _FAR, _NEAR) == 'b1'


def test_link_round_trip_is_weighed_against_queue_wait() -> None:
    """Guards against a 60 ms round trip that avoids a wait of a few ms."""
    state = fleet.routing_state()
    _answer(state, 'a2', None)
    _send_calls(state, 'a2', 2)
    assert fleet.pick(state, _LOCAL[0], _NEAR) == 'b1'
    assert fleet.pick(state, _LOCAL[0], _FAR) == 'a2'
    _send_calls(state, 'a2', 60)
    assert fleet.pick(state, _LOCAL[0], _FAR) == 'c1'


def test_local_server_is_preferred_only_with_a_free_slot() -> None:
    """Guards against an ingress that overloads the server of its own node."""
    state = fleet.routing_state()
    own_server = fleet.backend('a1')
    assert {fleet.pick(state, own_server, *_LOCAL) for _ in range(30)} == {'a1'}
    _send_calls(state, 'a1', 2)
    assert fleet.pick(state, own_server, *_LOCAL) != 'a1'


def test_calls_spread_by_two_choices() -> None:
    """Guards against a burst of calls that all go to one server."""
    state = fleet.routing_state()
    counts: collections.Counter[str | None] = collections.Counter()
    for _ in range(60):
        chosen = fleet.pick(state, *_LOCAL)
        _send_calls(state, str(chosen), 1)
        counts[chosen] += 1
    assert max(counts.values()) - min(counts.values()) <= 2


def test_leaving_and_draining_servers_get_no_new_work() -> None:
    """Guards against calls lost on a backend server that is stopping."""
    state = fleet.routing_state()
    leaving = fleet.backend('a5', state=states.InstanceState.LEAVING)
    routing.observe(
        messages.Draining(instance=ids.InstanceId('a2')),
        state.observations,
        0,
    )
    _refuse(state, 'a3', states.RefusalReason.DRAINING)
    chosen = {fleet.pick(state, leaving, *_LOCAL, now=30) for _ in range(50)}
    assert chosen == {'a4'}
    assert fleet.pick(state, leaving, _LOCAL[0], now=30) is None


def test_new_link_clears_draining() -> None:
    """Guards against a restarted node that gets no calls.

    The announcement of draining came from its earlier incarnation.
    """
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


def test_draining_ends_soon_after_the_link_is_lost() -> None:
    """Guards against a restarted node that gets no calls for a minute.

    No link is opened to a node that is not chosen, so no greeting shows that
    its next incarnation accepts calls.
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


def test_slow_server_gets_no_call_it_would_answer_too_late() -> None:
    """Guards against calls that miss their due time at a near, slow server."""
    state = fleet.routing_state()
    _report(state, 'a2', 0.4)
    _report(state, 'c1', 0.04)
    assert fleet.pick(state, _LOCAL[0], _FAR, due=0.2) == 'c1'
    assert fleet.pick(state, _LOCAL[0], _FAR, due=0.5) == 'a2'
    assert fleet.pick(state, _LOCAL[0], _FAR, now=4, due=4.2) == 'a2'


def test_slower_server_is_used_if_faster_than_another_region() -> None:
    """Guards against calls sent to another region without a gain in time."""
    state = fleet.routing_state()
    _report(state, 'a2', 0.08)
    _report(state, 'c1', 0.04)
    assert fleet.pick(state, _LOCAL[0], _FAR, due=0.06) == 'a2'


def test_lost_link_does_not_mark_a_node_as_draining() -> None:
    """Guards against a node that gets no calls because its link was reset."""
    state = fleet.routing_state()
    _answer(state, 'a2', None)
    routing.observe(
        events.PeerLost(instance=ids.InstanceId('a2')),
        state.observations,
        1,
    )
    assert fleet.pick(state, _LOCAL[0], now=1) == 'a2'


def test_ejection_period_is_bounded() -> None:
    """Guards against capacity unused long after a network cut has ended."""
    state = fleet.routing_state()
    now: float = 0
    for _ in range(8):
        _lose_calls(state, 'a2', now, 3)
        observed = state.observations.for_instance(ids.InstanceId('a2'))
        assert observed.ejected_until - now <= 8
        now = observed.ejected_until


def test_ejection_doubles_and_ends_with_an_answer() -> None:
    """Guards against a failing server that is tried again too often."""
    state = fleet.routing_state()
    _lose_calls(state, 'a2', 0, 2)
    assert {fleet.pick(state, *_LOCAL) for _ in range(50)} >= {'a2'}
    now = 0
    for period in (1, 2, 4):
        _lose_calls(state, 'a2', now, 3)
        assert {
            fleet.pick(state, *_LOCAL, now=now + period - 0.1)
            for _ in range(50)
        } == {'a3', 'a4'}
        now += period
        assert 'a2' in {fleet.pick(state, *_LOCAL, now=now) for _ in range(50)}
    _answer(state, 'a2', None, now)
    _lose_calls(state, 'a2', now, 2)
    assert 'a2' in {fleet.pick(state, *_LOCAL, now=now) for _ in range(50)}


def test_an_unreachable_server_is_ejected_at_once() -> None:
    """Guards against a call wasted on each failed link to a crashed node."""
    state = fleet.routing_state()
    _refuse(state, 'a2', states.RefusalReason.BACKEND_DOWN)
    assert 'a2' in {fleet.pick(state, *_LOCAL) for _ in range(50)}
    _refuse(state, 'a3', states.RefusalReason.OWNER_UNREACHABLE)
    assert 'a3' not in {fleet.pick(state, *_LOCAL) for _ in range(50)}


@pytest.mark.parametrize('ejected', [2, 3])
def test_ejections_are_ignored_when_over_half_are_ejected(ejected: int) -> None:
    """Guards against a fault of this ingress that ejects a whole service."""
    state = fleet.routing_state()
    for backend in _LOCAL[:ejected]:
        _lose_calls(state, backend.instance, 0, 3)
    chosen = {fleet.pick(state, *_LOCAL, now=0.5) for _ in range(50)}
    assert chosen == {'a2', 'a3', 'a4'}


def test_false_load_reports_move_no_call_to_another_region() -> None:
    """Guards against false load reports that take all calls from a service."""
    state = fleet.routing_state()
    for backend in _LOCAL:
        _answer(state, backend.instance, _FALSE_LOAD)
    chosen = {fleet.pick(state, _FAR, *_LOCAL) for _ in range(50)}
    assert chosen == {'a2', 'a3', 'a4'}
    # A server with a false report still gets calls when the others are busy.
    _send_calls(state, 'a3', 9)
    _send_calls(state, 'a4', 9)
    assert 'a2' in {fleet.pick(state, *_LOCAL) for _ in range(50)}


def test_old_load_reports_are_ignored() -> None:
    """Guards against a server that is avoided for a load that has passed."""
    state = fleet.routing_state()
    for backend in _LOCAL[1:]:
        _answer(state, backend.instance, _FALSE_LOAD, 0)
    pair = _LOCAL[:2]
    assert {fleet.pick(state, *pair, now=0.1) for _ in range(50)} == {'a2'}
    assert len({fleet.pick(state, *pair, now=1.1) for _ in range(50)}) == 2


def test_refusal_for_load_overrides_a_report_of_free_slots() -> None:
    """Guards against refusals ignored because a report shows free slots."""
    state = fleet.routing_state()
    idle = messages.LoadState(slots=2, running=0, queued=0, service_time=0.01)
    _answer(state, 'a2', idle)
    _refuse(state, 'a2', states.RefusalReason.QUEUE_FULL)
    assert {fleet.pick(state, *_LOCAL) for _ in range(50)} == {'a3', 'a4'}


def test_observations_are_dropped_after_a_pause() -> None:
    """Guards against decisions on observations from before a pause."""
    state = fleet.routing_state()
    _send_calls(state, 'a2', 5)
    _lose_calls(state, 'a2', 0, 3)
    observations = state.observations
    routing.observe(events.Tick(now=0.5, lag_s=0.9), observations, 0.5)
    assert observations.for_instance(ids.InstanceId('a2')).ejected_until == 1
    routing.observe(events.Tick(now=0.5, lag_s=1.1), observations, 0.5)
    after = observations.for_instance(ids.InstanceId('a2'))
    assert (after.ejected_until, after.in_flight) == (0, 2)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    history=st.lists(
        st.tuples(st.sampled_from(['a2', 'b1']), st.integers(0, 4)),
        max_size=40,
    ),
    seed=st.integers(0, 99),
)
def test_some_owner_is_eligible_whatever_was_observed(
    history: list[tuple[str, int]],
    seed: int,
) -> None:
    """Guards against observations that leave a service without an owner.

    Only draining may exclude all owners; no sequence of answers, refusals and
    losses may.
    """
    state = fleet.routing_state(seed=seed)
    for step, (name, kind) in enumerate(history):
        now = step / 100
        if kind == 0:
            _send_calls(state, name, 3)
        elif kind == 1:
            _answer(state, name, _FALSE_LOAD, now)
        elif kind == 2:
            _refuse(state, name, states.RefusalReason.SHED, now)
        else:
            _lose_calls(state, name, now, 3)
    assert fleet.pick(state, _NEAR, _LOCAL[0], now=0.4) is not None


def test_partially_failing_server_is_avoided() -> None:
    """Guards against a server that fails at random but looks healthy.

    Answers between the failures keep it from being ejected.
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
    at_once = {fleet.pick(state, *_LOCAL) for _ in range(50)}
    assert at_once == {'a3', 'a4'}
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


def test_large_answers_prefer_links_with_less_wait() -> None:
    """Guards against large answers that queue for the link of one machine."""
    state = fleet.routing_state()
    full, near = fleet.backend('a2'), fleet.backend('a3')
    other_centre = fleet.backend('b1')
    _observe_large(state, 'a2', link_wait=1.5)
    _observe_large(state, 'a3', link_wait=0.5)
    _observe_large(state, 'b1', link_wait=0)
    assert fleet.pick(state, full, near, route=_BUNDLE) == 'a3'
    chosen = fleet.pick(state, full, other_centre, route=_BUNDLE, due=1)
    assert chosen == 'b1'
    assert fleet.pick(state, full, other_centre, due=1) == 'a2'
    # The reported wait has passed by now.
    chosen = fleet.pick(state, full, other_centre, now=2, route=_BUNDLE, due=3)
    assert chosen == 'a2'


@pytest.mark.parametrize('link_wait', [0.5, 1.5])
def test_large_answers_stay_in_the_region(link_wait: float) -> None:
    """Guards against large answers between regions, paid by volume."""
    state = fleet.routing_state()
    near, far = fleet.backend('a2'), fleet.backend('c1', region='south')
    _observe_large(state, 'a2', link_wait=link_wait)
    _observe_large(state, 'c1', link_wait=0)
    assert fleet.pick(state, near, far, route=_BUNDLE, due=1) == 'a2'
    # It refused the call because of its link and is not asked again.
    tried = (near.instance,)
    chosen = fleet.pick(state, near, far, route=_BUNDLE, due=1, excluded=tried)
    assert chosen is None
    assert fleet.pick(state, near, far, due=1, excluded=tried) == 'c1'


@pytest.mark.parametrize(
    'reason',
    [states.RefusalReason.OWNER_UNREACHABLE, states.RefusalReason.DRAINING],
)
def test_large_answers_leave_a_region_without_owners(
    reason: states.RefusalReason,
) -> None:
    """Guards against large answers refused because a data centre is lost."""
    state = fleet.routing_state()
    near, far = fleet.backend('a2'), fleet.backend('c1', region='south')
    _observe_large(state, 'c1', link_wait=0)
    _refuse(state, 'a2', reason)
    assert fleet.pick(state, near, far, route=_BUNDLE) == 'c1'


def test_large_answers_leave_a_region_whose_server_is_down() -> None:
    """Guards against large answers refused while another region can serve."""
    state = fleet.routing_state()
    near, far = fleet.backend('a2'), fleet.backend('c1', region='south')
    _observe_large(state, 'c1', link_wait=0)
    _refuse(state, 'a2', states.RefusalReason.BACKEND_DOWN)
    tried = (near.instance,)
    chosen = fleet.pick(state, near, far, route=_BUNDLE, excluded=tried)
    assert chosen == 'c1'


def test_large_answers_do_not_slow_the_estimate_for_short_calls() -> None:
    """Guards against short calls given up because large answers are slow."""
    state = fleet.routing_state()
    backend = fleet.backend('a2')
    _answer(state, 'a2', None)
    _observe_large(state, 'a2', link_wait=1.5)
    short = routing.expected_time(backend, state, 0, route=_CHECK)
    bundle = routing.expected_time(backend, state, 0, route=_BUNDLE)
    assert short == pytest.approx(0.005)
    assert bundle == pytest.approx(1.505)


def test_large_answers_count_eligible_owners_of_the_region() -> None:
    """Guards against large answers refused as late by the last owner.

    An owner that is not the last to be asked refuses what it would answer
    late; owners of other regions are not asked for large answers.
    """
    state = fleet.routing_state()
    near, far = fleet.backend('a2'), fleet.backend('c1', region='south')
    _observe_large(state, 'a2', link_wait=0.5)
    candidates = routing.group_candidates(
        (near, far), ingress_location=fleet.LOCATION
    )
    for route, owners in ((_BUNDLE, 1), (_CHECK, 2)):
        query = routing.AnyOwnerQuery(candidates=candidates, route=route)
        assert routing.count_eligible_owners(query, state, 0) == owners


def test_large_requests_stay_in_the_region() -> None:
    """Guards against large bodies between regions, paid by volume."""
    state = fleet.routing_state()
    near, far = fleet.backend('a2'), fleet.backend('c1', region='south')
    _send_calls(state, 'a2', 20)
    assert fleet.pick(state, near, far, due=1) == 'c1'
    chosen = fleet.pick(state, near, far, due=1, large_request=True)
    assert chosen == 'a2'


@pytest.mark.parametrize(('due', 'expected'), [(1, 'a2'), (0.01, 'b1')])
def test_large_requests_stay_in_the_data_centre_while_in_time(
    due: float, expected: str
) -> None:
    """Guards against large bodies that cross data centres to save a wait."""
    state = fleet.routing_state()
    near, other_centre = fleet.backend('a2'), fleet.backend('b1')
    _send_calls(state, 'a2', near.slots + 4)
    chosen = fleet.pick(state, near, other_centre, due=1)
    assert chosen == 'b1'
    chosen = fleet.pick(state, near, other_centre, due=due, large_request=True)
    assert chosen == expected


@pytest.mark.parametrize(
    ('body_bytes', 'distance', 'expected'),
    [
        (4_000, routing.Zone.DATA_CENTRE, False),
        (60_000, routing.Zone.DATA_CENTRE, True),
        (300, routing.Zone.OTHER_REGION, False),
        (4_000, routing.Zone.REGION, True),
        (4_000, routing.Zone.OTHER_REGION, True),
    ],
)
def test_bodies_that_cost_are_offered_first(
    body_bytes: int, distance: routing.Zone, expected: bool
) -> None:
    """Guards against bodies sent between regions only to be refused.

    In an overload owners in other regions refuse most of the attempts, and what
    was sent to them is paid by volume.
    """
    assert routing.offers_first(body_bytes, distance) is expected
