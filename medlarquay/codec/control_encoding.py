"""Encoding of the messages on control links."""

import cbor2

from medlarquay import messages, replica
from medlarquay.codec import compression, encode, message_type

__all__ = ()


@encode.fields_of.register
def _subscribe(message: messages.Subscribe, now: float) -> list[object]:
    return [
        int(message_type.MessageType.SUBSCRIBE),
        message.vector.tree_revision,
        message.vector.list_revision,
        message.digest,
    ]


@encode.fields_of.register
def _fetch_all(message: messages.FetchAll, now: float) -> list[object]:
    return [int(message_type.MessageType.FETCH_ALL)]


@encode.fields_of.register
def _probe(message: messages.Probe, now: float) -> list[object]:
    return [int(message_type.MessageType.PROBE), message.nonce]


@encode.fields_of.register
def _heartbeat(message: messages.Heartbeat, now: float) -> list[object]:
    return [
        int(message_type.MessageType.HEARTBEAT),
        message.nonce,
        message.age_ms,
        message.list_age_ms,
        message.vector.tree_revision,
        message.vector.list_revision,
        message.digest,
    ]


@encode.fields_of.register
def _records(message: messages.Records, now: float) -> list[object]:
    delta = message.delta
    entries = [_instance_fields(entry) for entry in delta.instances]
    return [
        int(message_type.MessageType.RECORDS),
        [
            *(_team_fields(record) for record in delta.teams),
            *(
                _difference_fields(difference)
                for difference in delta.differences
            ),
        ],
        compression.compress(cbor2.dumps(entries)) if entries else b'',
        delta.base.tree_revision,
        delta.base.list_revision,
        delta.reached.tree_revision,
        delta.reached.list_revision,
        delta.digest,
    ]


def _team_fields(record: replica.TeamRecord) -> list[object]:
    return [
        record.team,
        record.revision,
        record.digest,
        record.accepted_revision,
        compression.compress(record.content),
        record.rejection,
    ]


def _difference_fields(difference: replica.TeamDifference) -> list[object]:
    edits = [
        member
        for edit in difference.edits
        for member in (edit.start, edit.length, edit.inserted)
    ]
    return [
        difference.team,
        difference.revision,
        difference.digest,
        difference.accepted_revision,
        compression.compress(cbor2.dumps(edits)),
        difference.rejection,
        difference.base,
        difference.accepted_digest,
    ]


def _instance_fields(entry: replica.InstanceRecord) -> list[object]:
    if entry.deleted:
        return [entry.instance, entry.revision]
    return [
        entry.instance,
        entry.revision,
        entry.team,
        entry.service,
        entry.region,
        entry.data_centre,
        entry.host,
        entry.caller_port,
        entry.peer_port,
        entry.slots,
        entry.state.value,
        entry.node,
    ]
