"""All checks on the record of a soak."""

from bench.soak import checks, soak_record

__all__ = ('run_checks',)

_CHECKS = (
    checks.check_answers,
    checks.check_stops,
    checks.check_versions,
    checks.check_leaving,
    checks.check_urgent,
)


def run_checks(record: soak_record.SoakRecord) -> list[checks.Finding]:
    """Run all checks; return the broken promises that they found."""
    return [finding for check in _CHECKS for finding in check(record)]
