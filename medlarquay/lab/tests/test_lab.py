"""Tests of the simulations and of the scenarios."""

import pathlib

import pytest

from medlarquay import errors
from medlarquay.lab import (
    lab_result,
    main,
    plain_policy,
    product_policy,
    read_scenario,
    run_scenario,
    scenario,
    summary,
)

_SCENARIOS = pathlib.Path(main.__file__).parent / 'scenarios'
_PRODUCT = product_policy.ProductPolicy()
_PLAIN = plain_policy.PlainPolicy()


def _read(name: str) -> scenario.Scenario:
    return read_scenario.read_scenario(_SCENARIOS / f'{name}.toml')


def _percent(call_results: list[lab_result.LabResult]) -> int:
    return int(100 * summary.earned_share(call_results))


def test_same_seed_gives_same_results() -> None:
    """Guards against runs with the same seed that differ.

    Policies would then be compared on different requests.
    """
    experiment = _read('quiet')
    first = run_scenario.run_scenario(experiment, _PRODUCT, seed=3)
    second = run_scenario.run_scenario(experiment, _PRODUCT, seed=3)
    assert first == second


def test_non_idempotent_request_runs_at_most_once() -> None:
    """Guards against a model that retries a request that may have run.

    Only idempotent requests may run more than once.
    """
    call_results = run_scenario.run_scenario(
        _read('portal_peak'), _PRODUCT, seed=1
    )
    non_idempotent = [
        entry for entry in call_results if not entry.kind.idempotent
    ]
    assert non_idempotent
    assert max(entry.runs for entry in non_idempotent) == 1


def test_normal_load_earns_nearly_full_worth() -> None:
    """Guards against a model that loses requests without overload."""
    call_results = run_scenario.run_scenario(_read('quiet'), _PRODUCT, seed=1)
    assert _percent(call_results) >= 98


def test_product_policy_beats_baseline_at_peak() -> None:
    """Guards against decisions that earn less than the baseline policy.

    The margin at the peak is more than 10 percentage points.
    """
    experiment = _read('portal_peak')
    product = run_scenario.run_scenario(experiment, _PRODUCT, seed=1)
    plain = run_scenario.run_scenario(experiment, _PLAIN, seed=1)
    assert _percent(product) > _percent(plain) + 10


def test_restarted_nodes_serve_their_share_of_burst() -> None:
    """Guards against a restarted node that gets no work for a minute.

    Three quarters of the portal servers were then left out of the choice, and
    too few were left for the burst of reads from second 17 on.
    """
    experiment = _read('rolling_restarts')
    call_results = run_scenario.run_scenario(experiment, _PRODUCT, seed=1)
    burst = [
        entry
        for entry in call_results
        if entry.kind.name == 'read' and 17 <= entry.sent_at < 20
    ]
    assert _percent(burst) >= 90


def test_malformed_scenario_names_missing_field(tmp_path: pathlib.Path) -> None:
    """Guards against a traceback instead of an error that names the field."""
    path = tmp_path / 'bad.toml'
    path.write_text('seconds = 1\n')
    with pytest.raises(errors.SettingError, match='data_centres_ms'):
        read_scenario.read_scenario(path)
