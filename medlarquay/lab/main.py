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
    """Play a scenario under both policies and print what they earn."""
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
        _play(experiment, policy, options)


def _play(
    experiment: scenario.Scenario,
    policy: product_policy.ProductPolicy | plain_policy.PlainPolicy,
    options: argparse.Namespace,
) -> None:
    plays = [
        run_scenario.run_scenario(experiment, policy, seed=seed)
        for seed in range(1, options.seeds + 1)
    ]
    _print(policy.name, 'all', [summary.earned_share(play) for play in plays])
    kinds = [summary.by_kind(play) for play in plays]
    for name in kinds[0]:
        _print(policy.name, name, [found[name] for found in kinds])
    if options.times:
        _print_times(policy.name, plays[0])


def _print(policy: str, name: str, shares: list[float]) -> None:
    middle = statistics.mean(shares)
    spread = max(shares) - min(shares)
    sys.stdout.write(
        f'{policy:10}{name:20}share={middle:.3f} spread={spread:.3f}\n',
    )


def _print_times(policy: str, play: list[lab_result.LabResult]) -> None:
    for start, share in summary.by_time(play, step_s=_STEP_S).items():
        sys.stdout.write(f'{policy:10}from_s={start:<6.0f}share={share:.3f}\n')
