"""Checks of the promises on the records of callers and backend servers."""

from bench.soak.checks.answers import check_answers
from bench.soak.checks.finding import Finding
from bench.soak.checks.finding_kind import FindingKind
from bench.soak.checks.leaving import check_leaving
from bench.soak.checks.stops import check_stops
from bench.soak.checks.urgent import check_urgent
from bench.soak.checks.versions import check_versions

__all__ = (
    'Finding',
    'FindingKind',
    'check_answers',
    'check_leaving',
    'check_stops',
    'check_urgent',
    'check_versions',
)
