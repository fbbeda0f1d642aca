"""Command line of the soak test."""

import argparse
import collections
import random
import sys

from bench.soak import (
    build_plan,
    regression,
    run_checks,
    run_soak,
    soak_plan,
    soak_record,
)

__all__ = ('main',)

_SECONDS = 40
_NODES = 8
_MAX_SEED = 1000000


def main() -> int:
    """Run the selected seeds one after the other and print the findings.

    Returns
    -------
    int
        Exit status: 1 if a run had findings, else 0.
    """
    options = _parse()
    failed = [run.seed for run in _select_runs(options) if _run(run, options)]
    print(f'soak_failed={",".join(map(str, failed)) or "none"}')
    return int(bool(failed))


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='bench.soak.main')
    parser.add_argument('--seed', type=int, action='append', default=[])
    parser.add_argument('--runs', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=_SECONDS)
    parser.add_argument('--nodes', type=int, default=_NODES)
    parser.add_argument('--checkout', default='')
    parser.add_argument('--untold-rate', action='store_true')
    parser.add_argument('--logs', default='')
    parser.add_argument('--regressions', action='store_true')
    return parser.parse_args()


def _select_runs(options: argparse.Namespace) -> list[regression.Regression]:
    if options.regressions:
        return regression.read_regressions()
    seeds = options.seed or [
        random.SystemRandom().randrange(_MAX_SEED) for _ in range(options.runs)
    ]
    return [
        regression.Regression(
            seed=seed,
            seconds=options.seconds,
            nodes=options.nodes,
        )
        for seed in seeds
    ]


def _run(run: regression.Regression, options: argparse.Namespace) -> bool:
    plan = build_plan.build_plan(
        seed=run.seed,
        seconds=run.seconds,
        nodes=run.nodes,
    )
    _print_plan(plan)
    record = run_soak.run_soak(
        plan,
        link_rate_known=not options.untold_rate,
        checkout=options.checkout,
        logs=options.logs and f'{options.logs}/{run.seed}',
    )
    findings = run_checks.run_checks(record)
    _print_record(record)
    for finding in findings:
        print(f'soak_finding={finding}')
    print(f'soak_{run.seed}={"failed" if findings else "passed"}', flush=True)
    return bool(findings)


def _print_plan(plan: soak_plan.SoakPlan) -> None:
    print(f'soak_seed={plan.seed}')
    for fault in plan.faults:
        print(f'soak_fault={fault}')


def _print_record(record: soak_record.SoakRecord) -> None:
    statuses = collections.Counter(
        (entry.mix, entry.status) for entry in record.caller_entries
    )
    for (mix, status), count in sorted(statuses.items()):
        print(f'soak_told_{mix}_{status}={count}')
    print(f'soak_runs={len(record.run_entries)}')
    for life in record.lifetimes:
        if life.asked_at and life.gone_at and not life.killed_at:
            print(f'soak_stop_s={life.gone_at - life.asked_at:.2f}')


if __name__ == '__main__':
    sys.exit(main())
