"""Joins, acceptance, deltas, floor and freshness."""

import dataclasses
import itertools
import json

import hypothesis
import pytest
from hypothesis import strategies

from medlarquay import errors, ids, replica, states

_TEAM = ids.TeamName('agency')
_REVISIONS = range(1, 8)
_LATER = ids.Revision(9)


def document(revision: int) -> bytes:
    """Return a valid document, different for each revision."""
    return json.dumps({
        'services': {'digest-portal': {'queue_limit': revision}},
        'routes': [
            {'host': 'digest-portal.agency', 'service': 'digest-portal'},
        ],
    }).encode()


def record(revision: int) -> replica.TeamRecord:
    """Return the record at one revision.

    Every third revision is rejected; revision 5 deletes the document.
    """
    content = b'{' if revision % 3 == 0 else document(revision)
    return replica.build_team_record(
        team=_TEAM,
        revision=ids.Revision(revision),
        content=None if revision == 5 else content,
    )


def _delta(offered: replica.TeamRecord) -> replica.Delta:
    return replica.Delta(
        teams=(offered,),
        instances=(),
        base=replica.VersionVector(),
        reached=replica.VersionVector(tree_revision=offered.revision),
        digest=ids.Digest(b''),
    )


def _answer(
    held: replica.Replica,
    *,
    after: int,
    revision: int,
    entries: tuple[replica.SourceValue, ...] = (),
) -> replica.ApplyResult:
    return replica.apply_source(
        held,
        tree=replica.SourceTree.TEAMS,
        after=ids.Revision(after),
        revision=ids.Revision(revision),
        entries=entries,
    )


def _reachable() -> list[replica.TeamRecord]:
    """Return all single records and all joins of two of them."""
    records = [record(revision) for revision in _REVISIONS]
    for first, second in itertools.combinations(tuple(records), 2):
        joined = replica.join_records(first, second)
        if joined not in records:
            records.append(joined)
    return records


_RECORDS = strategies.sampled_from(_reachable())


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(_RECORDS, _RECORDS, _RECORDS)
def test_join_is_a_semilattice(
    first: replica.TeamRecord,
    second: replica.TeamRecord,
    third: replica.TeamRecord,
) -> None:
    """Guards against a result that depends on the order of messages."""
    join = replica.join_records
    assert join(first, second) == join(second, first)
    assert join(join(first, second), third) == join(first, join(second, third))
    assert join(first, first) == first


def test_conflict_keeps_the_first_content() -> None:
    """Guards against two nodes that alternate contents of one revision."""
    held = replica.Replica()
    for content in (document(1), document(2)):
        offered = replica.build_team_record(
            team=_TEAM,
            revision=ids.Revision(1),
            content=content,
        )
        change = held.apply_delta(_delta(offered))
    assert next(held.teams).content == document(1)
    assert [event.value for event in change.events] == ['revision_conflict']
    with pytest.raises(errors.RevisionConflictError):
        replica.join_records(next(held.teams), offered)


def test_bad_document_blocks_no_other_team() -> None:
    """Guards against an invalid document that blocks another team."""
    held = replica.Replica()
    entries = tuple(
        replica.SourceValue(
            key=key,
            revision=ids.Revision(revision),
            content=content,
        )
        for revision, key, content in (
            (1, 'agency', document(1)),
            (2, 'agency', b'[]'),
            (3, 'cooperative', document(3).replace(b'agency', b'cooperative')),
        )
    )
    change = _answer(held, after=0, revision=3, entries=entries)
    agency = next(entry for entry in held.teams if entry.team == 'agency')
    assert (agency.revision, agency.accepted_revision) == (2, 1)
    assert agency.rejection
    assert change.rejections
    assert {entry.team for entry in held.documents} == {
        'agency',
        'cooperative',
    }


def test_invalid_document_from_peer_is_rejected() -> None:
    """Guards against a faulty peer that brings a document into force."""
    content = b'{"services": 3}'
    forged = dataclasses.replace(
        record(1),
        content=content,
        digest=replica.digest_of(content),
    )
    checked = replica.check_record(forged)
    assert checked is not None
    assert (checked.content, checked.accepted_revision) == (b'', 0)
    swapped = dataclasses.replace(record(1), content=document(2))
    assert replica.check_record(swapped) is None
    for offered in (forged, swapped):
        held = replica.Replica()
        change = held.apply_delta(_delta(offered))
        assert not list(held.documents)
        assert change.rejections


def test_stale_source_changes_nothing() -> None:
    """Guards against an older entry that a stale source restores."""
    held = replica.Replica()
    _answer(held, after=0, revision=5)
    entry = replica.SourceValue(
        key='agency',
        revision=ids.Revision(3),
        content=document(3),
    )
    change = _answer(held, after=0, revision=3, entries=(entry,))
    assert not change.has_changes
    assert change.events == [states.ReplicaEvent.SOURCE_STALE]


def test_older_entry_of_an_instance_changes_nothing() -> None:
    """Guards against a late message that restores a deleted instance."""
    held = replica.Replica()
    content = json.dumps({
        'instance': 'a', 'team': 't', 'service': 's', 'region': 'r',
        'data_centre': 'd', 'host': 'h', 'caller_port': 1, 'peer_port': 2,
        'slots': 1, 'state': 'live',
    }).encode()  # fmt: skip
    listed = replica.parse_instance(content=content, revision=ids.Revision(4))
    deleted = replica.tombstone(instance=listed.instance, revision=_LATER)
    for offered in (listed, deleted, listed):
        change = replica.ApplyResult()
        held.join_instance(offered, change)
    assert not held.instances
    assert change.events == [states.ReplicaEvent.RECORD_STALE]


def test_digest_does_not_depend_on_order() -> None:
    """Guards against an incremental digest that differs for equal records."""
    joined, incremental = replica.Replica(), replica.Replica()
    incremental_result = replica.ApplyResult()
    for revision in (1, 2, 4, 3, 7, 6):
        incremental.join_team(record(revision), incremental_result)
    joined.join_team(
        replica.join_records(record(7), record(6)),
        replica.ApplyResult(),
    )
    assert joined.digest == incremental.digest
    assert joined.digest != replica.Replica().digest


def test_floor_waits_for_the_peers() -> None:
    """Guards against serving an older version after a restart."""
    floor = replica.Floor(peers=('a', 'b'), startup_deadline=3)
    old = replica.VersionVector(tree_revision=ids.Revision(5))
    new = replica.VersionVector(tree_revision=ids.Revision(7))
    floor.record_answer('a', new)
    assert not floor.may_serve(
        held=new, has_document=True, confirmed_at=1, now=1
    )
    floor.record_failure('b')
    assert not floor.may_serve(
        held=old, has_document=True, confirmed_at=1, now=1
    )
    assert not floor.may_serve(
        held=new, has_document=True, confirmed_at=-6, now=1
    )
    assert floor.may_serve(held=new, has_document=True, confirmed_at=-6, now=3)


def test_isolated_node_does_not_serve() -> None:
    """Guards against serving while partitioned from peers and source."""
    floor = replica.Floor(peers=('a',), startup_deadline=3)
    floor.record_failure('a')
    held = replica.VersionVector(tree_revision=ids.Revision(5))
    assert not floor.may_serve(
        held=held, has_document=True, confirmed_at=float('-inf'), now=99
    )


def test_answer_to_read_before_pause_does_not_confirm() -> None:
    """Guards against a delayed answer that makes old data look fresh."""
    freshness = replica.Freshness()
    freshness.expire(now=10)
    assert not freshness.confirm(confirmed_at=9.5, requested_at=9.8)
    assert freshness.confirm(confirmed_at=9.5, requested_at=10.2)
