"""Decoders of the messages on control links."""

import sys
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType

import cbor2

from medlarquay import ids, messages, replica, states
from medlarquay.codec import (
    checked,
    compression,
    control_limits,
    message_type,
)

__all__ = ('DECODERS',)

_MAX_PORT = 65535
# A tombstone carries its key and revision only.
_TOMBSTONE_FIELDS = 2
# A difference carries two digests more than a record.
_DIFFERENCE_FIELDS = 8
_EDIT_FIELDS = 3

_Team = replica.TeamRecord | replica.TeamDifference


def _subscribe(reader: checked.Checked, now: float) -> messages.Subscribe:
    return messages.Subscribe(vector=_vector(reader), digest=_digest(reader))


def _fetch_all(reader: checked.Checked, now: float) -> messages.FetchAll:
    return messages.FetchAll()


def _probe(reader: checked.Checked, now: float) -> messages.Probe:
    return messages.Probe(nonce=_count(reader))


def _heartbeat(reader: checked.Checked, now: float) -> messages.Heartbeat:
    nonce = _count(reader)
    return messages.Heartbeat(
        nonce=nonce,
        age_ms=_age_ms(reader),
        list_age_ms=_age_ms(reader),
        vector=_vector(reader),
        digest=_digest(reader),
    )


def _age_ms(reader: checked.Checked) -> int | None:
    age_ms = reader.take_optional(int)
    if age_ms is None or 0 <= age_ms <= control_limits.MAX_REVISION:
        return age_ms
    raise reader.error('is out of range')


def _records(reader: checked.Checked, now: float) -> messages.Records:
    teams = tuple(_teams(reader))
    return messages.Records(
        delta=replica.Delta(
            teams=tuple(
                found
                for found in teams
                if isinstance(found, replica.TeamRecord)
            ),
            differences=tuple(
                found
                for found in teams
                if isinstance(found, replica.TeamDifference)
            ),
            instances=tuple(_instances(reader)),
            base=_vector(reader),
            reached=_vector(reader),
            digest=_digest(reader),
        ),
    )


def _teams(reader: checked.Checked) -> Iterator[_Team]:
    left = control_limits.MAX_MESSAGE_BYTES
    for fields in reader.take(list):
        entry = reader.nested(fields)
        if entry.length == _DIFFERENCE_FIELDS:
            yield _difference(entry)
            continue
        record = _team(entry, left)
        left -= len(record.content)
        yield record


def _team(reader: checked.Checked, left: int) -> replica.TeamRecord:
    limit = min(left, control_limits.MAX_DOCUMENT_BYTES)
    record = replica.TeamRecord(
        team=ids.TeamName(_text(reader)),
        revision=ids.Revision(_count(reader)),
        digest=_full_digest(reader),
        accepted_revision=ids.Revision(_count(reader)),
        content=compression.decompress(
            reader.take(bytes),
            limit=limit,
            peer=reader.peer,
        ),
        rejection=_text(reader),
    )
    reader.finish()
    return record


def _difference(reader: checked.Checked) -> replica.TeamDifference:
    found = replica.TeamDifference(
        team=ids.TeamName(_text(reader)),
        revision=ids.Revision(_count(reader)),
        digest=_full_digest(reader),
        accepted_revision=ids.Revision(_count(reader)),
        edits=tuple(_edits(reader)),
        rejection=_text(reader),
        base=_full_digest(reader),
        accepted_digest=_full_digest(reader),
    )
    reader.finish()
    return found


def _edits(reader: checked.Checked) -> Iterator[replica.ContentEdit]:
    entry = reader.nested(
        _load_packed(reader, limit=control_limits.MAX_DOCUMENT_BYTES),
    )
    if entry.length % _EDIT_FIELDS:
        raise reader.error('does not consist of whole edits')
    for _ in range(entry.length // _EDIT_FIELDS):
        yield replica.ContentEdit(
            start=_count(entry),
            length=_count(entry),
            inserted=entry.take(bytes),
        )


def _instances(reader: checked.Checked) -> Iterator[replica.InstanceRecord]:
    entries = _load_packed(reader, limit=control_limits.MAX_ENTRIES_BYTES)
    for fields in entries:
        yield _instance(reader.nested(fields))


def _load_packed(reader: checked.Checked, *, limit: int) -> list[object]:
    """Return a compressed CBOR array; empty bytes stand for an empty one."""
    content = compression.decompress(
        reader.take(bytes),
        limit=limit,
        peer=reader.peer,
    )
    if not content:
        return []
    try:
        entries = cbor2.loads(content)
    except Exception as cause:
        # The library raises many types for malformed input.
        raise reader.error('is not CBOR after decompression') from cause
    if isinstance(entries, list):
        return entries
    raise reader.error('is no array after decompression')


def _instance(reader: checked.Checked) -> replica.InstanceRecord:
    instance = ids.InstanceId(_text(reader))
    revision = ids.Revision(_count(reader))
    if reader.length == _TOMBSTONE_FIELDS:
        return replica.tombstone(instance=instance, revision=revision)
    team, service = _texts(reader, 2)
    region, data_centre, host = _texts(reader, 3)
    record = replica.InstanceRecord(
        instance=instance,
        revision=revision,
        team=ids.TeamName(sys.intern(team)),
        service=ids.ServiceName(sys.intern(service)),
        region=ids.RegionName(sys.intern(region)),
        data_centre=ids.DataCentreName(sys.intern(data_centre)),
        host=host,
        caller_port=_port(reader),
        peer_port=_port(reader),
        slots=_count(reader),
        state=reader.take_choice(states.InstanceState),
        node=ids.InstanceId(_text(reader)),
    )
    reader.finish()
    return record


def _vector(reader: checked.Checked) -> replica.VersionVector:
    return replica.VersionVector(
        tree_revision=ids.Revision(_count(reader)),
        list_revision=ids.Revision(_count(reader)),
    )


def _count(reader: checked.Checked) -> int:
    found = reader.take(int)
    if 0 <= found <= control_limits.MAX_REVISION:
        return found
    raise reader.error('is out of range')


def _port(reader: checked.Checked) -> int:
    found = reader.take(int)
    if 0 <= found <= _MAX_PORT:
        return found
    raise reader.error('is no port')


def _text(reader: checked.Checked) -> str:
    found = reader.take(str)
    if len(found) <= control_limits.MAX_TEXT:
        return found
    raise reader.error('is too long')


def _texts(reader: checked.Checked, count: int) -> list[str]:
    return [_text(reader) for _ in range(count)]


def _digest(reader: checked.Checked) -> ids.Digest:
    found = reader.take(bytes)
    if len(found) in {0, control_limits.DIGEST_BYTES}:
        return ids.Digest(found)
    raise reader.error('is no digest')


def _full_digest(reader: checked.Checked) -> ids.Digest:
    found = _digest(reader)
    if found:
        return found
    raise reader.error('is no digest')


DECODERS: Mapping[
    int,
    Callable[[checked.Checked, float], object],
] = MappingProxyType({
    message_type.MessageType.SUBSCRIBE: _subscribe,
    message_type.MessageType.FETCH_ALL: _fetch_all,
    message_type.MessageType.RECORDS: _records,
    message_type.MessageType.PROBE: _probe,
    message_type.MessageType.HEARTBEAT: _heartbeat,
})
