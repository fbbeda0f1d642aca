"""Which failures are retried, for which requests, and how often."""

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from medlarquay import ids, messages, routing, snapshots, states
from medlarquay import settings as service_settings
from medlarquay.routing.tests import fleet

_CALL_ID = ids.CallId(1)
_CONTEXT = routing.RetryContext(
    idempotent=False,
    keyed=False,
    retries=0,
    deadline=10,
    expected_time=0.1,
    other_backend=True,
    newer_snapshot=False,
)
_SHED = messages.CallRefused(call_id=_CALL_ID, reason=states.RefusalReason.SHED)
_UNKNOWN = messages.CallUnknown(
    call_id=_CALL_ID,
    reason=states.RefusalReason.OWNER_LOST,
)


def _decide(
    failure: object,
    *,
    tenths: int = 10,
    now: float = 0,
    **changes: object,
) -> states.RetryReason | states.RetryDenial:
    decision = routing.decide_retry(
        failure,
        dataclasses.replace(_CONTEXT, **changes),
        routing.RetryBudget(tenths=tenths),
        now,
    )
    if isinstance(decision, routing.RetryGranted):
        return decision.reason
    return decision.denial


def _refusal(reason: states.RefusalReason) -> messages.CallRefused:
    return messages.CallRefused(call_id=_CALL_ID, reason=reason)


def test_unknown_outcomes_are_retried_for_idempotent_requests_only() -> None:
    """Guards against a non-idempotent request that runs twice."""
    denied = states.RetryDenial.NOT_PROVED_UNRUN
    assert _decide(_UNKNOWN) is denied
    granted = states.RetryReason.OUTCOME_UNKNOWN
    assert _decide(_UNKNOWN, idempotent=True) is granted


@pytest.mark.parametrize(
    ('changes', 'denial'),
    [
        ({'tenths': 9}, states.RetryDenial.BUDGET_EXHAUSTED),
        ({'retries': 2}, states.RetryDenial.BUDGET_EXHAUSTED),
        ({'now': 9.95}, states.RetryDenial.DEADLINE_TOO_CLOSE),
        ({'other_backend': False}, states.RetryDenial.NO_OTHER_BACKEND),
        ({'keyed': True}, states.RetryDenial.NO_OTHER_BACKEND),
    ],
)
def test_retry_is_denied_if_any_condition_fails(
    changes: dict[str, object],
    denial: states.RetryDenial,
) -> None:
    """Guards against retries past the deadline or over the budget.

    Also against a retry of a keyed request at an owner other than its home.
    """
    assert _decide(_SHED) is states.RetryReason.REFUSED_FOR_LOAD
    assert _decide(_SHED, **changes) is denial


def test_refusal_marked_final_is_not_retried() -> None:
    """Guards against retries that multiply along a chain of calls."""
    final = dataclasses.replace(_SHED, retry_allowed=False)
    assert _decide(final) is states.RetryDenial.MARKED_FINAL


def test_not_home_is_retried_once_after_a_newer_snapshot() -> None:
    """Guards against a key that moves between owners while snapshots differ."""
    refused = _refusal(states.RefusalReason.NOT_HOME)
    denied = states.RetryDenial.NO_OTHER_BACKEND
    assert _decide(refused, keyed=True) is denied
    assert (
        _decide(refused, keyed=True, newer_snapshot=True)
        is states.RetryReason.REFUSED_NOT_HOME
    )
    again = _decide(refused, keyed=True, newer_snapshot=True, retries=1)
    assert again is denied


def test_refusals_that_hold_everywhere_are_not_retried() -> None:
    """Guards against a poison request that is sent to every server."""
    for reason in (
        states.RefusalReason.QUARANTINED,
        states.RefusalReason.DEADLINE_PASSED,
        states.RefusalReason.KEY_REUSED,
        states.RefusalReason.KEY_HOME_LOST,
    ):
        assert _decide(_refusal(reason)) is states.RetryDenial.NOT_RETRYABLE


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.booleans(), max_size=300))
def test_retries_never_exceed_a_tenth_of_first_attempts(
    failing: list[bool],
) -> None:
    """Guards against a retry storm, whatever the order of failures."""
    budget = routing.RetryBudget()
    retries = 0
    for attempts, failed in enumerate(failing, start=1):
        budget.count_first_attempt()
        if failed:
            decision = routing.decide_retry(_SHED, _CONTEXT, budget, 0)
            retries += isinstance(decision, routing.RetryGranted)
        assert retries * 10 <= attempts


def test_the_burst_is_bounded() -> None:
    """Guards against a retry storm from tokens saved over a long quiet time."""
    budget = routing.RetryBudget()
    for _ in range(10000):
        budget.count_first_attempt()
    assert sum(budget.take() for _ in range(100)) == 10


def _failed_answer(status: int) -> messages.CallAnswered:
    return messages.CallAnswered(
        call_id=_CALL_ID,
        status=status,
        headers=(),
        body=b'',
    )


def test_a_refusal_before_the_backend_server_needs_no_budget() -> None:
    """Guards against calls refused while other owners are idle."""
    refused = _refusal(states.RefusalReason.QUEUE_FULL)
    granted = states.RetryReason.REFUSED_FOR_LOAD
    assert _decide(refused, tenths=0, retries=3) is granted
    denied = states.RetryDenial.ATTEMPTS_USED
    assert _decide(refused, tenths=0, retries=4) is denied


def test_a_request_is_sent_to_no_more_servers_than_its_route_allows() -> None:
    """Guards against one request that runs on every server."""
    denied = states.RetryDenial.ATTEMPTS_USED
    changes = {'idempotent': True, 'sent_attempts': 2, 'max_sent_attempts': 2}
    assert _decide(_UNKNOWN, **changes) is denied


@pytest.mark.parametrize(
    ('status', 'idempotent', 'expected'),
    [
        (500, True, states.RetryReason.ANSWERED_FAILURE),
        (500, False, states.RetryDenial.NOT_PROVED_UNRUN),
        (504, True, states.RetryDenial.NOT_RETRYABLE),
        (404, True, states.RetryDenial.NOT_RETRYABLE),
    ],
)
def test_failed_answers_are_retried_for_idempotent_requests_only(
    status: int,
    idempotent: bool,  # noqa: FBT001
    expected: states.RetryReason | states.RetryDenial,
) -> None:
    """Guards against a non-idempotent request run again after a failure."""
    decision = _decide(_failed_answer(status), idempotent=idempotent)
    assert decision is expected


def test_retry_budgets_of_services_are_separate() -> None:
    """Guards against a retry storm at one service paid by traffic of others."""
    budgets = routing.RetryBudgets()
    quiet, busy = (_service(name) for name in ('quiet', 'busy'))
    for _ in range(100):
        budgets.for_service(busy).count_first_attempt()
    assert budgets.for_service(busy).take()
    assert not budgets.for_service(quiet).take()


def test_nodes_share_the_fleet_burst() -> None:
    """Guards against too many saved retries that all nodes spend at once.

    Ten at each of 18 nodes are 180, three times what the users allow.
    """
    budgets = routing.RetryBudgets(fleet_burst=58)
    service = _service('desk')
    for _ in range(100):
        budgets.for_service(service).count_first_attempt()
    budgets.apply_snapshot(_snapshot(service, backends=18))
    assert [budgets.for_service(service).take() for _ in range(4)].count(
        True
    ) == 3
    for _ in range(100):
        budgets.for_service(service).count_first_attempt()
    assert [budgets.for_service(service).take() for _ in range(4)].count(
        True
    ) == 3


def _snapshot(
    service: snapshots.Service, *, backends: int
) -> snapshots.Snapshot:
    listed = tuple(fleet.backend(f'a{number}') for number in range(backends))
    return snapshots.Snapshot(
        tree_revision=ids.Revision(1),
        list_revision=ids.Revision(1),
        routes={},
        services={service.key: service},
        instances=snapshots.InstanceList(by_service={service.key: listed}),
    )


def _service(name: str) -> snapshots.Service:
    return snapshots.Service(
        team=ids.TeamName('team'),
        parameters=service_settings.ServiceSettings(
            name=ids.ServiceName(name),
            floors=(),
            queue_limit=1,
            cold_start_ms=0,
        ),
    )
