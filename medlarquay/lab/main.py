"""Entry point of ``medlarquay-lab``."""

import argparse
import pathlib
import statistics
import sys

from medlarquay import errors
from medlarquay.lab import (
    lab_result,
    plain_policy,
    product_policy,
    read_scenario,
    run_scenario,
    scenario,
    summary,
)

__all__ = ('run',)

_BAD_USAGE = 2
_STEP_S = 2.0
_POLICIES = (product_policy.ProductPolicy(), plain_policy.PlainPolicy())


def run() -> None:
    """Simulate a scenario under both policies and print their results.

    Each line has the share of the attainable worth that was earned (mean over
    the seeds) and its spread (largest less smallest).
    """
    parser = argparse.ArgumentParser(prog='medlarquay-lab')
    parser.add_argument('scenario', type=pathlib.Path)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument(
        '--times',
        action='store_true',
        help='print the share earned in each two seconds of the first seed',
    )
    options = parser.parse_args()
    try:
        experiment = read_scenario.read_scenario(options.scenario)
    except errors.SettingError as failure:
        sys.stderr.write(f'medlarquay-lab: {failure}\n')
        sys.exit(_BAD_USAGE)
    for policy in _POLICIES:
        _simulate(experiment, policy, options)


def _simulate(
    experiment: scenario.Scenario,
    policy: product_policy.ProductPolicy | plain_policy.PlainPolicy,
    options: argparse.Namespace,
) -> None:
    runs = [
        run_scenario.run_scenario(experiment, policy, seed=seed)
        for seed in range(1, options.seeds + 1)
    ]
    _print_share(
        policy.name,
        'all',
        [summary.earned_share(call_results) for call_results in runs],
    )
    shares_by_kind = [summary.by_kind(call_results) for call_results in runs]
    for name in shares_by_kind[0]:
        _print_share(
            policy.name, name, [shares[name] for shares in shares_by_kind]
        )
    if options.times:
        _print_times(policy.name, runs[0])


def _print_share(policy: str, name: str, shares: list[float]) -> None:
    mean = statistics.mean(shares)
    spread = max(shares) - min(shares)
    sys.stdout.write(
        f'{policy:10}{name:20}share={mean:.3f} spread={spread:.3f}\n',
    )


def _print_times(policy: str, call_results: list[lab_result.LabResult]) -> None:
    for start, share in summary.by_time(call_results, step_s=_STEP_S).items():
        sys.stdout.write(f'{policy:10}from_s={start:<6.0f}share={share:.3f}\n')
