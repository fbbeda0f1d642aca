"""How soon a reader returns to a source that was away."""

import random

import pytest

from medlarquay import states, topology

# A change has to be in force 2.5 s after it was accepted; passing it on takes
# half a second, and a read waits for its turn of a second.
_RETURN_S = 1.0


@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize('outage_s', [1.5, 4.5, 9.0, 60.0])
def test_a_reader_returns_soon_after_an_outage(
    outage_s: float,
    seed: int,
) -> None:
    """Guards against a change that no region reads for seconds.

    After an outage of 4.5 s a reader waited up to 8 s before its next read,
    and the other regions waited alike.
    """
    limiter = topology.SourceLimiter(randomness=random.Random(seed))
    now = 100.0
    ends = now + outage_s
    while now < ends:
        limiter.sent(now=now)
        limiter.failed(now=now)
        now = limiter.next_read(states.ReadingMode.READER, now=now)
    assert now - ends <= _RETURN_S


def test_an_outage_costs_few_calls() -> None:
    """Guards against readers that load a source which is coming back."""
    limiter = topology.SourceLimiter(randomness=random.Random(1))
    now = 100.0
    calls = 0
    while now < 160:
        calls += 1
        limiter.sent(now=now)
        limiter.failed(now=now)
        now = limiter.next_read(states.ReadingMode.READER, now=now)
    assert calls <= 61
