"""Contribution of one record to the digest over all records."""

import functools
import hashlib

from medlarquay.replica import instance_record, team_record

__all__ = ('token_of',)


@functools.singledispatch
def token_of(record: object) -> int:
    """Return the contribution of one record as a 256-bit integer.

    Tombstones of instances contribute nothing, so a node that never knew an
    instance agrees with one that saw it deleted.
    """
    raise TypeError(f'no token for {type(record).__name__}')


@token_of.register
def _of_team(record: team_record.TeamRecord) -> int:
    return _hash(
        f'team {record.team!r} {record.revision} {record.digest.hex()} '
        f'{record.accepted_revision}',
    )


@token_of.register
def _of_instance(record: instance_record.InstanceRecord) -> int:
    if record.deleted:
        return 0
    return _hash(f'instance {record.instance!r} {record.revision}')


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.sha256(text.encode()).digest(), 'big')
