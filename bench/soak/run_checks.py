"""All checks of a soak."""

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
    """Return what broke a promise."""
    return [found for check in _CHECKS for found in check(record)]
