"""Fuzzing: no message on a call link raises an unexpected error."""

import math

import cbor2
import hypothesis
import pytest
from hypothesis import strategies as st

from medlarquay import codec, errors, ids, messages, states

_LOAD = messages.LoadState(
    slots=6, running=2, queued=1, service_time=0.5, link_wait=0.25
)
_ID = ids.CallId(7)
_REASON = states.RefusalReason.LINK_FULL
_MESSAGES = (
    messages.Hello(
        instance=ids.InstanceId('a'),
        incarnation=ids.Incarnation('run1'),
        region=ids.RegionName('north'),
        data_centre=ids.DataCentreName('a'),
    ),
    messages.CallRequest(
        call_id=_ID,
        team=ids.TeamName('agency'),
        service=ids.ServiceName('desk'),
        method=b'POST',
        target=b'/approve/1',
        headers=((b'host', b'desk.agency'),),
        body=b'{}',
        rank=states.Rank.URGENT,
        idempotent=False,
        deadline=12.5,
        due=11.25,
    ),
    messages.CallOffered(
        call_id=_ID,
        team=ids.TeamName('agency'),
        service=ids.ServiceName('desk'),
        route=ids.RouteName('desk.agency/'),
        rank=states.Rank.BULK,
        deadline=12.5,
        due=11.25,
        last_attempt=False,
        body_bytes=60_000,
    ),
    messages.CallGranted(call_id=_ID),
    messages.CallCancel(call_id=_ID),
    messages.CallAnswered(
        call_id=_ID, status=200, headers=(), body=b'done', load=_LOAD
    ),
    messages.CallRefused(call_id=_ID, reason=_REASON, load=_LOAD),
    messages.CallUnknown(call_id=_ID, reason=_REASON),
    messages.Draining(instance=ids.InstanceId('a')),
    messages.CrashSuspected(
        service=ids.ServiceName('desk'),
        fingerprint=ids.Fingerprint(b'f'),
        crash_id='a/1/1',
        only_suspect=True,
    ),
    messages.SuspicionCleared(
        service=ids.ServiceName('desk'),
        fingerprint=ids.Fingerprint(b'f'),
    ),
)
_SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from((1 << 4000, -(1 << 4000), math.nan, math.inf))
    | st.floats()
    | st.text(max_size=5)
    | st.binary(max_size=5)
)
_VALUES = st.recursive(
    _SCALARS,
    lambda children: (
        st.lists(children, max_size=6)
        | st.dictionaries(st.text(max_size=3), children, max_size=2)
    ),
    max_leaves=8,
)


def _decode(frame: bytes) -> object | None:
    try:
        return codec.decode(frame, now=10, peer='test')
    except errors.DecodeError:
        return None


@hypothesis.given(
    message=st.sampled_from(_MESSAGES),
    position=st.integers(0, 20),
    replacement=_VALUES,
)
@hypothesis.settings(derandomize=True, max_examples=600)
def test_any_field_is_decoded_or_a_typed_error(
    message: object,
    position: int,
    replacement: object,
) -> None:
    """Guards against a malformed message that breaks more than its link."""
    fields = cbor2.loads(codec.encode(message, now=10))
    fields[position % len(fields)] = replacement
    decoded = _decode(cbor2.dumps(fields))
    if decoded is not None:
        codec.encode(decoded, now=10)


@hypothesis.given(frame=st.binary(max_size=200))
@hypothesis.settings(derandomize=True)
def test_any_bytes_are_decoded_or_a_typed_error(frame: bytes) -> None:
    """Guards against bytes that are no message."""
    _decode(frame)


@pytest.mark.parametrize('length', [-1, 1 << 40])
def test_length_of_an_offer_is_limited(length: int) -> None:
    """Guards against an offer that frees room which is not there."""
    offer = _MESSAGES[2]
    fields = cbor2.loads(codec.encode(offer, now=10))
    fields[9] = length
    assert _decode(cbor2.dumps(fields)) is None


@pytest.mark.parametrize(
    'remaining_ms', [1 << 4000, -(1 << 4000)], ids=['future', 'past']
)
def test_deadline_out_of_range_is_an_error(remaining_ms: int) -> None:
    """Guards against an overflow while a deadline is computed."""
    request = _MESSAGES[1]
    fields = cbor2.loads(codec.encode(request, now=10))
    fields[10] = remaining_ms
    assert _decode(cbor2.dumps(fields)) is None


@pytest.mark.parametrize('service_time', [math.nan, math.inf])
def test_load_without_a_finite_time_is_an_error(service_time: float) -> None:
    """Guards against a load report that no comparison can order."""
    answered = _MESSAGES[5]
    fields = cbor2.loads(codec.encode(answered, now=10))
    fields[5][3] = service_time
    assert _decode(cbor2.dumps(fields)) is None
