"""Check that no node returns to an older document version."""

import collections
import itertools
from collections.abc import Iterator

from bench.soak import node_life, soak_load, soak_record
from bench.soak.checks import finding, finding_kind, served_version
from medlarquay import testing

__all__ = ('check_versions',)

_MS_PER_SECOND = 1000
_OK = 200


def check_versions(
    record: soak_record.SoakRecord,
) -> Iterator[finding.Finding]:
    """Yield the pairs of answers that show a return to an older version.

    Each version has a route that no other version has. A node process that
    has served the route of a version must not serve that of an older one
    later; a restarted process may start from an older one.
    """
    by_life = collections.defaultdict(list)
    for entry in record.caller_entries:
        version = soak_load.probe_version(entry.mix)
        if version is not None and entry.status == _OK:
            answer = _served_version(record, entry, version)
            by_life[answer.life.name, answer.life.started_at].append(answer)
    for answers in by_life.values():
        for first, later in itertools.permutations(answers, 2):
            if first.reverted_by(later):
                yield finding.Finding(
                    kind=finding_kind.FindingKind.REVERTED,
                    detail=f'{later} after {first}',
                )


def _served_version(
    record: soak_record.SoakRecord,
    entry: testing.ToldEntry,
    version: int,
) -> served_version.ServedVersion:
    ended_at = entry.sent_at + entry.latency_ms / _MS_PER_SECOND
    return served_version.ServedVersion(
        life=_life_at(record, record.ingress_of(entry), ended_at),
        version=version,
        sent_at=entry.sent_at,
        ended_at=ended_at,
    )


def _life_at(
    record: soak_record.SoakRecord,
    name: str,
    moment: float,
) -> node_life.NodeLife:
    """Return the lifetime of the process that a node had at a time."""
    return max(
        (
            life
            for life in record.lifetimes_of(name)
            if life.started_at <= moment
        ),
        key=lambda life: life.started_at,
    )
