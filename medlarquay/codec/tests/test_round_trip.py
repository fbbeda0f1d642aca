"""Encoding and decoding of call messages."""

import pytest

from medlarquay import codec, errors, ids, messages, states

_REQUEST = messages.CallRequest(
    call_id=ids.CallId(7),
    team=ids.TeamName('agency'),
    service=ids.ServiceName('editorial-desk'),
    method=b'POST',
    target=b'/approve/1',
    headers=((b'host', b'editorial-desk.agency'),),
    body=b'{}',
    rank=states.Rank.URGENT,
    idempotent=False,
    deadline=12.5,
    route=ids.RouteName('editorial-desk.agency/'),
    due=11.25,
    last_attempt=False,
    request_key=ids.RequestKey('k'),
)


def test_request_keeps_its_fields() -> None:
    """Guards against a field lost or swapped by encoding and decoding."""
    frame = codec.encode(_REQUEST, now=10)
    assert codec.decode(frame, now=10, peer='test') == _REQUEST


_OFFER = messages.CallOffered(
    call_id=ids.CallId(7),
    team=ids.TeamName('agency'),
    service=ids.ServiceName('editorial-desk'),
    route=ids.RouteName('editorial-desk.agency/'),
    rank=states.Rank.BULK,
    deadline=12.5,
    due=11.25,
    last_attempt=False,
    body_bytes=60_000,
    request_id='r1',
)


@pytest.mark.parametrize(
    'message',
    [_OFFER, messages.CallGranted(call_id=ids.CallId(7))],
)
def test_offer_and_grant_keep_their_fields(message: object) -> None:
    """Guards against a field lost or swapped by encoding and decoding."""
    frame = codec.encode(message, now=10)
    assert codec.decode(frame, now=10, peer='test') == message


def test_deadline_is_converted_to_the_receivers_clock() -> None:
    """Guards against using a deadline of another machine's monotonic clock."""
    frame = codec.encode(_REQUEST, now=10)
    received = codec.decode(frame, now=110, peer='test')
    assert received.deadline == pytest.approx(112.5)


def test_every_truncation_is_a_typed_error() -> None:
    """Guards against a crash on a truncated message of a lost peer."""
    frame = codec.encode(_REQUEST, now=10)
    for end in range(len(frame)):
        with pytest.raises(errors.DecodeError):
            codec.decode(frame[:end], now=10, peer='test')
