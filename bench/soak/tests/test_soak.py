"""Soak run with real processes."""

from bench.soak import build_plan, run_checks, run_soak

_SEED = 2
_SECONDS = 32
_NODES = 6


def test_promises_hold_under_faults_on_full_links() -> None:
    """Guards against answers lost at a planned stop of a node on full links.

    At b6c75e9 this run lost answers, and urgent calls missed their deadline.
    """
    plan = build_plan.build_plan(seed=_SEED, seconds=_SECONDS, nodes=_NODES)
    record = run_soak.run_soak(plan)
    findings = [str(finding) for finding in run_checks.run_checks(record)]
    assert not findings, '\n'.join(findings)
