"""Join of two records with the same key."""

import functools
from typing import Any, TypeVar

from medlarquay import errors, ids
from medlarquay.replica import acceptance, instance_record, team_record

__all__ = ('Joinable', 'join_records')

_STEP = 'join records'

Joinable = TypeVar(
    'Joinable',
    team_record.TeamRecord,
    instance_record.InstanceRecord,
)


def join_records(held: Joinable, offered: Joinable) -> Joinable:
    """Return the join of two records of one team or one instance.

    The join is commutative, associative and idempotent, so records may arrive
    in any order and any number of times.

    Parameters
    ----------
    held, offered : TeamRecord or InstanceRecord
        Record of the replica, and a received record with the same key.

    Returns
    -------
    TeamRecord or InstanceRecord
        Record of the same type.

    Raises
    ------
    RevisionConflictError
        If both have the same revision with different contents.
    """
    return _join(held, offered)


@functools.singledispatch
def _join(held: object, offered: object) -> Any:
    raise TypeError(f'cannot join records of type {type(held).__name__}')


@_join.register
def _join_teams(
    held: team_record.TeamRecord,
    offered: team_record.TeamRecord,
) -> team_record.TeamRecord:
    _check_teams(held, offered)
    newest = max(held, offered, key=_newest_order)
    accepted = max(held, offered, key=_accepted_order)
    # Another release may reject the same revision with a different text, or
    # accept it. An acceptance takes precedence over a rejection.
    rejected = newest.revision != accepted.accepted_revision
    return team_record.TeamRecord(
        team=held.team,
        revision=newest.revision,
        digest=newest.digest,
        accepted_revision=accepted.accepted_revision,
        content=accepted.content,
        rejection=newest.rejection if rejected else '',
    )


@_join.register
def _join_instances(
    held: instance_record.InstanceRecord,
    offered: instance_record.InstanceRecord,
) -> instance_record.InstanceRecord:
    if held.revision == offered.revision and held != offered:
        raise errors.RevisionConflictError(
            f'different contents at revision {held.revision}',
            step=_STEP,
            peer=f'instances/{held.instance}',
        )
    return offered if offered.revision > held.revision else held


def _newest_order(record: team_record.TeamRecord) -> tuple[int, str]:
    return record.revision, record.rejection


def _accepted_order(record: team_record.TeamRecord) -> int:
    return record.accepted_revision


def _check_teams(
    held: team_record.TeamRecord,
    offered: team_record.TeamRecord,
) -> None:
    held_digests = _digests(held)
    for revision, digest in _digests(offered).items():
        if held_digests.get(revision, digest) != digest:
            raise errors.RevisionConflictError(
                f'different contents at revision {revision}',
                step=_STEP,
                peer=f'teams/{held.team}',
            )


def _digests(record: team_record.TeamRecord) -> dict[int, ids.Digest]:
    digests = {record.revision: record.digest}
    if 0 < record.accepted_revision < record.revision:
        accepted = acceptance.accepted_digest(record)
        digests[record.accepted_revision] = accepted
    return {int(revision): digest for revision, digest in digests.items()}
