"""Soaks with real processes."""

from bench.soak import build_plan, run_checks, run_soak

_SEED = 2
_SECONDS = 32
_NODES = 6


def test_promises_hold_under_faults_on_full_links() -> None:
    """Guards against answers that are lost at a planned stop on a full link.

    On b6c75e9 this run loses answers, and urgent calls miss their deadline.
    """
    plan = build_plan.build_plan(seed=_SEED, seconds=_SECONDS, nodes=_NODES)
    record = run_soak.run_soak(plan)
    findings = [str(found) for found in run_checks.run_checks(record)]
    assert not findings, '\n'.join(findings)
