"""Splitting of a delta into parts that each fit into one message."""

import dataclasses
from collections.abc import Iterator

from medlarquay import ids
from medlarquay.replica import (
    delta,
    instance_record,
    team_record,
)

__all__ = ('split_delta',)

#: Largest total of the documents of a part, before compression; a larger
#: document is a part of its own, so that its frame has no room to share.
_PART_BYTES = 1 << 20
_PART_INSTANCES = 4096


def split_delta(whole: delta.Delta) -> Iterator[delta.Delta]:
    """Split a delta into parts to be sent in order on one link.

    Only the last part advances the receiver's vector and carries the digest.
    Earlier parts must not advance it to the revision of their last record: a
    record that was replaced after that revision is in a later part.
    """
    if _fits_one_message(whole):
        yield whole
        return
    for teams in _split_teams(whole.teams):
        yield _part(whole, teams=teams)
    for first in range(0, len(whole.instances), _PART_INSTANCES):
        entries = whole.instances[first : first + _PART_INSTANCES]
        yield _part(whole, entries=entries)
    yield dataclasses.replace(whole, teams=(), instances=())


def _fits_one_message(whole: delta.Delta) -> bool:
    size = sum(len(record.content) for record in whole.teams)
    return size <= _PART_BYTES and len(whole.instances) <= _PART_INSTANCES


def _part(
    whole: delta.Delta,
    *,
    teams: tuple[team_record.TeamRecord, ...] = (),
    entries: tuple[instance_record.InstanceRecord, ...] = (),
) -> delta.Delta:
    return delta.Delta(
        teams=teams,
        instances=entries,
        base=whole.base,
        reached=whole.base,
        digest=ids.Digest(b''),
    )


def _split_teams(
    records: tuple[team_record.TeamRecord, ...],
) -> Iterator[tuple[team_record.TeamRecord, ...]]:
    part: list[team_record.TeamRecord] = []
    size = 0
    for record in records:
        if part and size + len(record.content) > _PART_BYTES:
            yield tuple(part)
            part = []
            size = 0
        part.append(record)
        size += len(record.content)
    if part:
        yield tuple(part)
