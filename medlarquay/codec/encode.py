"""Encoding of messages between nodes."""

import functools

import cbor2

from medlarquay import messages
from medlarquay.codec import message_type

__all__ = ('encode', 'fields_of')

_MS_PER_SECOND = 1000


def encode(message: object, *, now: float) -> bytes:
    """Encode one message as a CBOR array.

    Parameters
    ----------
    message : object
        A message of ``medlarquay.messages``.
    now : float
        Seconds on the monotonic clock. Deadlines are sent as the remaining
        milliseconds, because the monotonic clocks of two machines differ.

    Returns
    -------
    bytes
    """
    return cbor2.dumps(fields_of(message, now))


@functools.singledispatch
def fields_of(message: object, now: float) -> list[object]:
    """Return the fields of a message, its type number first.

    Each kind of message registers its encoding here.

    Raises
    ------
    TypeError
        If no encoding is registered for the type of the message.
    """
    raise TypeError(f'no encoding for {type(message).__name__}')


@fields_of.register
def _hello(message: messages.Hello, now: float) -> list[object]:
    return [
        int(message_type.MessageType.HELLO),
        message.instance,
        message.incarnation,
        message.region,
        message.data_centre,
    ]


@fields_of.register
def _call_request(message: messages.CallRequest, now: float) -> list[object]:
    return [
        int(message_type.MessageType.CALL_REQUEST),
        message.call_id,
        message.team,
        message.service,
        message.method,
        message.target,
        message.headers,
        message.body,
        message.rank.value,
        message.idempotent,
        int((message.deadline - now) * _MS_PER_SECOND),
        message.route,
        int((min(message.due, message.deadline) - now) * _MS_PER_SECOND),
        message.last_attempt,
        message.request_key,
    ]


@fields_of.register
def _call_offered(message: messages.CallOffered, now: float) -> list[object]:
    return [
        int(message_type.MessageType.CALL_OFFERED),
        message.call_id,
        message.team,
        message.service,
        message.route,
        message.rank.value,
        int((message.deadline - now) * _MS_PER_SECOND),
        int((min(message.due, message.deadline) - now) * _MS_PER_SECOND),
        message.last_attempt,
        message.body_bytes,
        message.request_id,
    ]


@fields_of.register
def _call_granted(message: messages.CallGranted, now: float) -> list[object]:
    return [int(message_type.MessageType.CALL_GRANTED), message.call_id]


@fields_of.register
def _call_cancel(message: messages.CallCancel, now: float) -> list[object]:
    return [int(message_type.MessageType.CALL_CANCEL), message.call_id]


@fields_of.register
def _call_answered(message: messages.CallAnswered, now: float) -> list[object]:
    return [
        int(message_type.MessageType.CALL_ANSWERED),
        message.call_id,
        message.status,
        message.headers,
        message.body,
        _load_fields(message.load),
        message.replayed,
        message.retry_allowed,
    ]


@fields_of.register
def _call_refused(message: messages.CallRefused, now: float) -> list[object]:
    return [
        int(message_type.MessageType.CALL_REFUSED),
        message.call_id,
        message.reason.value,
        _load_fields(message.load),
        message.retry_allowed,
    ]


@fields_of.register
def _call_unknown(message: messages.CallUnknown, now: float) -> list[object]:
    return [
        int(message_type.MessageType.CALL_UNKNOWN),
        message.call_id,
        message.reason.value,
    ]


@fields_of.register
def _draining(message: messages.Draining, now: float) -> list[object]:
    return [int(message_type.MessageType.DRAINING), message.instance]


@fields_of.register
def _crash_suspected(
    message: messages.CrashSuspected, now: float
) -> list[object]:
    return [
        int(message_type.MessageType.CRASH_SUSPECTED),
        message.service,
        message.fingerprint,
        message.crash_id,
        message.only_suspect,
    ]


@fields_of.register
def _suspicion_cleared(
    message: messages.SuspicionCleared, now: float
) -> list[object]:
    return [
        int(message_type.MessageType.SUSPICION_CLEARED),
        message.service,
        message.fingerprint,
    ]


def _load_fields(load: messages.LoadState | None) -> list[object] | None:
    if load is None:
        return None
    return [
        load.slots,
        load.running,
        load.queued,
        load.service_time,
        load.link_wait,
    ]
