"""Decoders of the messages that precede a large request."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from medlarquay import ids, messages, states
from medlarquay.codec import field_reader, message_type

__all__ = ('DECODERS',)

_MS_PER_SECOND = 1000
# A frame holds the body and the header of a request.
_MAX_BODY_BYTES = 1 << 21


def _call_offered(
    reader: field_reader.FieldReader, now: float
) -> messages.CallOffered:
    return messages.CallOffered(
        call_id=ids.CallId(reader.take(int)),
        team=ids.TeamName(reader.take(str)),
        service=ids.ServiceName(reader.take(str)),
        route=ids.RouteName(reader.take(str)),
        rank=reader.take_choice(states.Rank),
        deadline=now + reader.take(int) / _MS_PER_SECOND,
        due=now + reader.take(int) / _MS_PER_SECOND,
        last_attempt=reader.take(bool),
        body_bytes=reader.take_length(_MAX_BODY_BYTES),
        request_id=reader.take(str),
    )


def _call_granted(
    reader: field_reader.FieldReader, now: float
) -> messages.CallGranted:
    return messages.CallGranted(call_id=ids.CallId(reader.take(int)))


DECODERS: Mapping[
    int,
    Callable[[field_reader.FieldReader, float], object],
] = MappingProxyType({
    message_type.MessageType.CALL_OFFERED: _call_offered,
    message_type.MessageType.CALL_GRANTED: _call_granted,
})
