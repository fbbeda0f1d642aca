"""Decoders of the messages on call links."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from medlarquay import ids, messages, states
from medlarquay.codec import field_reader, message_type

__all__ = ('DECODERS',)

_MS_PER_SECOND = 1000


def _hello(reader: field_reader.FieldReader, now: float) -> messages.Hello:
    return messages.Hello(
        instance=ids.InstanceId(reader.take(str)),
        incarnation=ids.Incarnation(reader.take(str)),
        region=ids.RegionName(reader.take(str)),
        data_centre=ids.DataCentreName(reader.take(str)),
    )


def _call_request(
    reader: field_reader.FieldReader, now: float
) -> messages.CallRequest:
    return messages.CallRequest(
        call_id=ids.CallId(reader.take(int)),
        team=ids.TeamName(reader.take(str)),
        service=ids.ServiceName(reader.take(str)),
        method=reader.take(bytes),
        target=reader.take(bytes),
        headers=reader.take_headers(),
        body=reader.take(bytes),
        rank=reader.take_choice(states.Rank),
        idempotent=reader.take(bool),
        deadline=now + reader.take(int) / _MS_PER_SECOND,
        route=ids.RouteName(reader.take(str)),
        due=now + reader.take(int) / _MS_PER_SECOND,
        last_attempt=reader.take(bool),
        request_key=_optional_key(reader),
    )


def _optional_key(reader: field_reader.FieldReader) -> ids.RequestKey | None:
    key = reader.take_optional(str)
    return None if key is None else ids.RequestKey(key)


def _call_cancel(
    reader: field_reader.FieldReader, now: float
) -> messages.CallCancel:
    return messages.CallCancel(call_id=ids.CallId(reader.take(int)))


def _call_answered(
    reader: field_reader.FieldReader,
    now: float,
) -> messages.CallAnswered:
    return messages.CallAnswered(
        call_id=ids.CallId(reader.take(int)),
        status=reader.take(int),
        headers=reader.take_headers(),
        body=reader.take(bytes),
        load=_load(reader.take_nested()),
        replayed=reader.take(bool),
        retry_allowed=reader.take(bool),
    )


def _call_refused(
    reader: field_reader.FieldReader, now: float
) -> messages.CallRefused:
    return messages.CallRefused(
        call_id=ids.CallId(reader.take(int)),
        reason=reader.take_choice(states.RefusalReason),
        load=_load(reader.take_nested()),
        retry_allowed=reader.take(bool),
    )


def _call_unknown(
    reader: field_reader.FieldReader, now: float
) -> messages.CallUnknown:
    return messages.CallUnknown(
        call_id=ids.CallId(reader.take(int)),
        reason=reader.take_choice(states.RefusalReason),
    )


def _draining(
    reader: field_reader.FieldReader, now: float
) -> messages.Draining:
    return messages.Draining(instance=ids.InstanceId(reader.take(str)))


def _crash_suspected(
    reader: field_reader.FieldReader,
    now: float,
) -> messages.CrashSuspected:
    return messages.CrashSuspected(
        service=ids.ServiceName(reader.take(str)),
        fingerprint=ids.Fingerprint(reader.take(bytes)),
        crash_id=reader.take(str),
        only_suspect=reader.take(bool),
    )


def _suspicion_cleared(
    reader: field_reader.FieldReader,
    now: float,
) -> messages.SuspicionCleared:
    return messages.SuspicionCleared(
        service=ids.ServiceName(reader.take(str)),
        fingerprint=ids.Fingerprint(reader.take(bytes)),
    )


def _load(reader: field_reader.FieldReader | None) -> messages.LoadState | None:
    if reader is None:
        return None
    load = messages.LoadState(
        slots=reader.take(int),
        running=reader.take(int),
        queued=reader.take(int),
        service_time=reader.take_number(),
        link_wait=reader.take_number(),
    )
    reader.expect_end()
    return load


DECODERS: Mapping[
    int,
    Callable[[field_reader.FieldReader, float], object],
] = MappingProxyType({
    message_type.MessageType.HELLO: _hello,
    message_type.MessageType.CALL_REQUEST: _call_request,
    message_type.MessageType.CALL_CANCEL: _call_cancel,
    message_type.MessageType.CALL_ANSWERED: _call_answered,
    message_type.MessageType.CALL_REFUSED: _call_refused,
    message_type.MessageType.CALL_UNKNOWN: _call_unknown,
    message_type.MessageType.DRAINING: _draining,
    message_type.MessageType.CRASH_SUSPECTED: _crash_suspected,
    message_type.MessageType.SUSPICION_CLEARED: _suspicion_cleared,
})
