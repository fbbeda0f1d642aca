"""Decoders of the messages on call links."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from medlarquay import ids, messages, states
from medlarquay.codec import checked, message_type

__all__ = ('DECODERS',)

_MS_PER_SECOND = 1000


def _hello(reader: checked.Checked, now: float) -> messages.Hello:
    return messages.Hello(
        instance=ids.InstanceId(reader.take(str)),
        incarnation=ids.Incarnation(reader.take(str)),
        region=ids.RegionName(reader.take(str)),
        data_centre=ids.DataCentreName(reader.take(str)),
    )


def _call_request(reader: checked.Checked, now: float) -> messages.CallRequest:
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


def _optional_key(reader: checked.Checked) -> ids.RequestKey | None:
    found = reader.take_optional(str)
    return None if found is None else ids.RequestKey(found)


def _call_cancel(reader: checked.Checked, now: float) -> messages.CallCancel:
    return messages.CallCancel(call_id=ids.CallId(reader.take(int)))


def _call_answered(
    reader: checked.Checked,
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


def _call_refused(reader: checked.Checked, now: float) -> messages.CallRefused:
    return messages.CallRefused(
        call_id=ids.CallId(reader.take(int)),
        reason=reader.take_choice(states.RefusalReason),
        load=_load(reader.take_nested()),
        retry_allowed=reader.take(bool),
    )


def _call_unknown(reader: checked.Checked, now: float) -> messages.CallUnknown:
    return messages.CallUnknown(
        call_id=ids.CallId(reader.take(int)),
        reason=reader.take_choice(states.RefusalReason),
    )


def _draining(reader: checked.Checked, now: float) -> messages.Draining:
    return messages.Draining(instance=ids.InstanceId(reader.take(str)))


def _suspected(
    reader: checked.Checked,
    now: float,
) -> messages.CrashSuspected:
    return messages.CrashSuspected(
        service=ids.ServiceName(reader.take(str)),
        fingerprint=ids.Fingerprint(reader.take(bytes)),
        crash_id=reader.take(str),
        only_suspect=reader.take(bool),
    )


def _cleared(
    reader: checked.Checked,
    now: float,
) -> messages.SuspicionCleared:
    return messages.SuspicionCleared(
        service=ids.ServiceName(reader.take(str)),
        fingerprint=ids.Fingerprint(reader.take(bytes)),
    )


def _load(reader: checked.Checked | None) -> messages.LoadState | None:
    if reader is None:
        return None
    load = messages.LoadState(
        slots=reader.take(int),
        running=reader.take(int),
        queued=reader.take(int),
        service_time=reader.take_number(),
        link_wait=reader.take_number(),
    )
    reader.finish()
    return load


DECODERS: Mapping[
    int,
    Callable[[checked.Checked, float], object],
] = MappingProxyType({
    message_type.MessageType.HELLO: _hello,
    message_type.MessageType.CALL_REQUEST: _call_request,
    message_type.MessageType.CALL_CANCEL: _call_cancel,
    message_type.MessageType.CALL_ANSWERED: _call_answered,
    message_type.MessageType.CALL_REFUSED: _call_refused,
    message_type.MessageType.CALL_UNKNOWN: _call_unknown,
    message_type.MessageType.DRAINING: _draining,
    message_type.MessageType.CRASH_SUSPECTED: _suspected,
    message_type.MessageType.SUSPICION_CLEARED: _cleared,
})
