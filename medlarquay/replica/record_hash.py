"""Hash of one record, as a term of the digest over all records."""

import functools
import hashlib

from medlarquay.replica import instance_record, team_record

__all__ = ('record_hash',)


@functools.singledispatch
def record_hash(record: object) -> int:
    """Return the hash of one record as a 256-bit integer.

    The hash of an instance's tombstone is 0, so that a node that never knew
    the instance has the same digest as one that saw it deleted.
    """
    raise TypeError(f'cannot hash records of type {type(record).__name__}')


@record_hash.register
def _of_team(record: team_record.TeamRecord) -> int:
    return _hash(
        f'team {record.team!r} {record.revision} {record.digest.hex()} '
        f'{record.accepted_revision}',
    )


@record_hash.register
def _of_instance(record: instance_record.InstanceRecord) -> int:
    if record.deleted:
        return 0
    return _hash(f'instance {record.instance!r} {record.revision}')


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.sha256(text.encode()).digest(), 'big')
