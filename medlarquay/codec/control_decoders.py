"""Decoders of the messages on control links."""

import sys
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType

import cbor2

from medlarquay import ids, messages, replica, states
from medlarquay.codec import (
    compression,
    control_limits,
    field_reader,
    message_type,
)

__all__ = ('DECODERS',)

_MAX_PORT = 65535
# A tombstone has its instance id and revision only.
_TOMBSTONE_FIELDS = 2
# A difference has two digests more than a record.
_DIFFERENCE_FIELDS = 8
_EDIT_FIELDS = 3

_TeamEntry = replica.TeamRecord | replica.TeamDifference


def _subscribe(
    reader: field_reader.FieldReader, now: float
) -> messages.Subscribe:
    return messages.Subscribe(vector=_vector(reader), digest=_digest(reader))


def _fetch_all(
    reader: field_reader.FieldReader, now: float
) -> messages.FetchAll:
    return messages.FetchAll()


def _probe(reader: field_reader.FieldReader, now: float) -> messages.Probe:
    return messages.Probe(nonce=_count(reader))


def _heartbeat(
    reader: field_reader.FieldReader, now: float
) -> messages.Heartbeat:
    nonce = _count(reader)
    return messages.Heartbeat(
        nonce=nonce,
        age_ms=_age_ms(reader),
        list_age_ms=_age_ms(reader),
        vector=_vector(reader),
        digest=_digest(reader),
    )


def _age_ms(reader: field_reader.FieldReader) -> int | None:
    age_ms = reader.take_optional(int)
    if age_ms is None or 0 <= age_ms <= control_limits.MAX_REVISION:
        return age_ms
    raise reader.error('is out of range')


def _records(reader: field_reader.FieldReader, now: float) -> messages.Records:
    teams = tuple(_teams(reader))
    return messages.Records(
        delta=replica.Delta(
            teams=tuple(
                entry
                for entry in teams
                if isinstance(entry, replica.TeamRecord)
            ),
            differences=tuple(
                entry
                for entry in teams
                if isinstance(entry, replica.TeamDifference)
            ),
            instances=tuple(_instances(reader)),
            base=_vector(reader),
            reached=_vector(reader),
            digest=_digest(reader),
        ),
    )


def _teams(reader: field_reader.FieldReader) -> Iterator[_TeamEntry]:
    remaining_bytes = control_limits.MAX_MESSAGE_BYTES
    for fields in reader.take(list):
        entry = reader.nested(fields)
        if entry.length == _DIFFERENCE_FIELDS:
            yield _difference(entry)
            continue
        record = _team(entry, remaining_bytes)
        remaining_bytes -= len(record.content)
        yield record


def _team(
    reader: field_reader.FieldReader, remaining_bytes: int
) -> replica.TeamRecord:
    limit = min(remaining_bytes, control_limits.MAX_DOCUMENT_BYTES)
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
    reader.expect_end()
    return record


def _difference(reader: field_reader.FieldReader) -> replica.TeamDifference:
    difference = replica.TeamDifference(
        team=ids.TeamName(_text(reader)),
        revision=ids.Revision(_count(reader)),
        digest=_full_digest(reader),
        accepted_revision=ids.Revision(_count(reader)),
        edits=tuple(_edits(reader)),
        rejection=_text(reader),
        base=_full_digest(reader),
        accepted_digest=_full_digest(reader),
    )
    reader.expect_end()
    return difference


def _edits(reader: field_reader.FieldReader) -> Iterator[replica.ContentEdit]:
    entry = reader.nested(
        _take_compressed_array(reader, limit=control_limits.MAX_DOCUMENT_BYTES),
    )
    if entry.length % _EDIT_FIELDS:
        raise reader.error('does not consist of whole edits')
    for _ in range(entry.length // _EDIT_FIELDS):
        yield replica.ContentEdit(
            start=_count(entry),
            length=_count(entry),
            inserted=entry.take(bytes),
        )


def _instances(
    reader: field_reader.FieldReader,
) -> Iterator[replica.InstanceRecord]:
    entries = _take_compressed_array(
        reader, limit=control_limits.MAX_ENTRIES_BYTES
    )
    for fields in entries:
        yield _instance(reader.nested(fields))


def _take_compressed_array(
    reader: field_reader.FieldReader, *, limit: int
) -> list[object]:
    """Return the next field, a compressed CBOR array; no bytes if empty."""
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
    raise reader.error('is not an array after decompression')


def _instance(reader: field_reader.FieldReader) -> replica.InstanceRecord:
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
    reader.expect_end()
    return record


def _vector(reader: field_reader.FieldReader) -> replica.VersionVector:
    return replica.VersionVector(
        tree_revision=ids.Revision(_count(reader)),
        list_revision=ids.Revision(_count(reader)),
    )


def _count(reader: field_reader.FieldReader) -> int:
    value = reader.take(int)
    if 0 <= value <= control_limits.MAX_REVISION:
        return value
    raise reader.error('is out of range')


def _port(reader: field_reader.FieldReader) -> int:
    value = reader.take(int)
    if 0 <= value <= _MAX_PORT:
        return value
    raise reader.error('is not a port number')


def _text(reader: field_reader.FieldReader) -> str:
    value = reader.take(str)
    if len(value) <= control_limits.MAX_TEXT:
        return value
    raise reader.error('exceeds the longest text allowed')


def _texts(reader: field_reader.FieldReader, count: int) -> list[str]:
    return [_text(reader) for _ in range(count)]


def _digest(reader: field_reader.FieldReader) -> ids.Digest:
    digest = reader.take(bytes)
    if len(digest) in {0, control_limits.DIGEST_BYTES}:
        return ids.Digest(digest)
    raise reader.error('is not a SHA-256 digest')


def _full_digest(reader: field_reader.FieldReader) -> ids.Digest:
    digest = _digest(reader)
    if digest:
        return digest
    raise reader.error('is an empty digest')


DECODERS: Mapping[
    int,
    Callable[[field_reader.FieldReader, float], object],
] = MappingProxyType({
    message_type.MessageType.SUBSCRIBE: _subscribe,
    message_type.MessageType.FETCH_ALL: _fetch_all,
    message_type.MessageType.RECORDS: _records,
    message_type.MessageType.PROBE: _probe,
    message_type.MessageType.HEARTBEAT: _heartbeat,
})
