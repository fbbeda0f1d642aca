"""How soon a reader returns to a source that was away."""

import random

import pytest

from medlarquay import states, topology

# A change has to be in force 2.5 s after it was accepted; passing it on takes
# half a second, and a read waits for its turn of a second.
_RETURN_S = 1.0


@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize('outage_s', [1.5, 4.5, 9.0, 60.0])
@pytest.mark.parametrize('burst', [1, topology.LIST_BURST])
def test_a_reader_returns_soon_after_an_outage(
    burst: int,
    outage_s: float,
    seed: int,
) -> None:
    """Guards against a change that no region reads for seconds.

    After an outage of 4.5 s a reader waited up to 8 s before its next read,
    and the other regions waited alike.
    """
    limiter = topology.SourceLimiter(
        randomness=random.Random(seed),
        burst=burst,
    )
    now = 100.0
    ends = now + outage_s
    while now < ends:
        limiter.record_sent(now=now)
        limiter.record_failure(now=now)
        now = limiter.next_read(states.ReadingMode.READER, now=now)
    assert now - ends <= _RETURN_S


@pytest.mark.parametrize('burst', [1, topology.LIST_BURST])
def test_an_outage_costs_few_calls(burst: int) -> None:
    """Guards against readers that load a source which is coming back."""
    limiter = topology.SourceLimiter(
        randomness=random.Random(1),
        burst=burst,
    )
    now = 100.0
    calls = 0
    while now < 160:
        calls += 1
        limiter.record_sent(now=now)
        limiter.record_failure(now=now)
        now = limiter.next_read(states.ReadingMode.READER, now=now)
    assert calls <= 61


def _sent_times(*, answer_s: float, until_s: float) -> list[float]:
    """Return when a reader sends watches that are each answered in a time."""
    limiter = topology.SourceLimiter(
        randomness=random.Random(1),
        burst=topology.LIST_BURST,
    )
    now = 100.0
    sent = []
    while now < 100 + until_s:
        sent.append(now)
        limiter.record_sent(now=now)
        limiter.record_success()
        now = limiter.next_read(
            states.ReadingMode.READER,
            now=now + answer_s,
        )
    return sent


def test_a_change_soon_after_another_does_not_wait_for_the_period() -> None:
    """Guards against a leaving that is read up to a second late.

    In a played day the next watch of the list was sent 0.65 to 0.87 s after
    the answer before, while a change waited at the source.
    """
    sent = _sent_times(answer_s=0.1, until_s=0.25)
    assert [round(at - 100, 6) for at in sent] == [0, 0.1, 0.2]


@pytest.mark.parametrize('answer_s', [0, 0.1, 0.3, 0.9])
def test_changes_without_end_keep_the_rate_of_calls(answer_s: float) -> None:
    """Guards against a storm of changes that costs a call for each."""
    sent = _sent_times(answer_s=answer_s, until_s=60)
    assert len(sent) <= 60 + topology.LIST_BURST
    for start in range(0, 60, 5):
        window = [at for at in sent if start <= at - 100 < start + 1]
        assert len(window) <= topology.LIST_BURST + 1


def test_a_quiet_source_costs_one_call_in_a_period() -> None:
    """Guards against calls that bring nothing."""
    assert len(_sent_times(answer_s=1.03, until_s=60)) <= 60
