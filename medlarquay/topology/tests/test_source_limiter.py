"""Rate limit of reads of the source, in operation and after an outage."""

import random

import pytest

from medlarquay import states, topology

# A change has to be in force 2.5 s after it was accepted. Its distribution
# takes half a second, and a read waits for up to one period of 1 s.
_MAX_RETRY_DELAY_S = 1.0


@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize('outage_s', [1.5, 4.5, 9.0, 60.0])
@pytest.mark.parametrize('burst', [1, topology.LIST_BURST])
def test_reader_retries_soon_after_outage(
    burst: int,
    outage_s: float,
    seed: int,
) -> None:
    """Guards against a backoff that outlasts the outage by seconds.

    With a longer maximum backoff, readers of all regions waited up to 8 s
    after an outage of 4.5 s before the next read.
    """
    limiter = topology.SourceLimiter(
        randomness=random.Random(seed),
        burst=burst,
    )
    now = 100.0
    outage_end = now + outage_s
    while now < outage_end:
        limiter.record_sent(now=now)
        limiter.record_failure(now=now)
        now = limiter.next_read(states.ReadingMode.READER, now=now)
    assert now - outage_end <= _MAX_RETRY_DELAY_S


@pytest.mark.parametrize('burst', [1, topology.LIST_BURST])
def test_outage_bounds_call_rate(burst: int) -> None:
    """Guards against retries that overload a source during its recovery."""
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
    """Return when a reader sends watches if each answer takes ``answer_s``."""
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


def test_burst_allows_next_watch_at_once() -> None:
    """Guards against a change of the list that is read up to 1 s late.

    Without a burst, the next watch of the instance list was sent 0.65 to
    0.87 s after the previous answer in a simulated day, while the state
    leaving of an instance waited at the source.
    """
    sent = _sent_times(answer_s=0.1, until_s=0.25)
    assert [round(at - 100, 6) for at in sent] == [0, 0.1, 0.2]


@pytest.mark.parametrize('answer_s', [0, 0.1, 0.3, 0.9])
def test_continuous_changes_keep_call_rate(answer_s: float) -> None:
    """Guards against one call per change under continuous changes."""
    sent = _sent_times(answer_s=answer_s, until_s=60)
    assert len(sent) <= 60 + topology.LIST_BURST
    for start in range(0, 60, 5):
        window = [at for at in sent if start <= at - 100 < start + 1]
        assert len(window) <= topology.LIST_BURST + 1


def test_quiet_source_costs_one_call_per_period() -> None:
    """Guards against polling more often than once a period without changes."""
    assert len(_sent_times(answer_s=1.03, until_s=60)) <= 60
