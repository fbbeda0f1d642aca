"""Splitting of a delta into parts that fit into one message each."""

import dataclasses
from collections.abc import Iterator

from medlarquay import ids
from medlarquay.replica import (
    delta,
    instance_record,
    team_record,
    version_vector,
)

__all__ = ('split_delta',)

#: A document holds at most 1 MB, so a part holds at most about 2 MB before
#: compression.
_PART_BYTES = 1 << 20
_PART_INSTANCES = 4096


def split_delta(whole: delta.Delta) -> Iterator[delta.Delta]:
    """Split a delta into parts, each of which is a delta in itself.

    Records are in order of revision, so each part ends at the revision of its
    last record and the next part begins there. Only the last part carries the
    digest.
    """
    if _is_small(whole):
        yield whole
        return
    base = whole.base
    for teams in _split_teams(whole.teams):
        reached = dataclasses.replace(base, tree_revision=teams[-1].revision)
        yield _part(base, reached, teams=teams)
        base = reached
    for first in range(0, len(whole.instances), _PART_INSTANCES):
        entries = whole.instances[first : first + _PART_INSTANCES]
        reached = dataclasses.replace(base, list_revision=entries[-1].revision)
        yield _part(base, reached, entries=entries)
        base = reached
    yield dataclasses.replace(whole, teams=(), instances=(), base=base)


def _is_small(whole: delta.Delta) -> bool:
    size = sum(len(record.content) for record in whole.teams)
    return size <= _PART_BYTES and len(whole.instances) <= _PART_INSTANCES


def _part(
    base: version_vector.VersionVector,
    reached: version_vector.VersionVector,
    *,
    teams: tuple[team_record.TeamRecord, ...] = (),
    entries: tuple[instance_record.InstanceRecord, ...] = (),
) -> delta.Delta:
    return delta.Delta(
        teams=teams,
        instances=entries,
        base=base,
        reached=base.join(reached),
        digest=ids.Digest(b''),
    )


def _split_teams(
    records: tuple[team_record.TeamRecord, ...],
) -> Iterator[tuple[team_record.TeamRecord, ...]]:
    part: list[team_record.TeamRecord] = []
    size = 0
    for record in records:
        part.append(record)
        size += len(record.content)
        if size >= _PART_BYTES:
            yield tuple(part)
            part = []
            size = 0
    if part:
        yield tuple(part)
