"""Log lines never block and are bounded in rate."""

import os
from collections.abc import Callable, Iterator

import pytest

from medlarquay import telemetry


class ManualClock:
    """A clock that tests move."""

    def __init__(self) -> None:
        self.now: float = 0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


@pytest.fixture(name='pipe')
def _pipe() -> Iterator[tuple[int, int]]:
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def test_a_reader_that_stopped_does_not_block(pipe: tuple[int, int]) -> None:
    """Guards against a node that waits for whoever reads its logs."""
    clock = ManualClock()
    stream = telemetry.BoundedStream(descriptor=pipe[1], clock=clock)
    line = 'x' * 1000 + '\n'
    for _ in range(1500):
        stream.write(line)
    assert stream.dropped
    os.set_blocking(pipe[0], False)
    assert os.read(pipe[0], len(line)).decode() == line


def test_the_rate_is_bounded_and_drops_are_told(pipe: tuple[int, int]) -> None:
    """Guards against logs that take the processor during an overload."""
    clock = ManualClock()
    stream = telemetry.BoundedStream(descriptor=pipe[1], clock=clock)
    for _ in range(2100):
        stream.write('a\n')
    assert stream.dropped == 100
    clock.now = 1
    stream.write('b\n')
    text = os.read(pipe[0], 1 << 16).decode()
    assert text.endswith('logs: dropped=100\nb\n')


def test_lines_are_gathered(pipe: tuple[int, int]) -> None:
    """Guards against a system call for each line."""
    scheduled: list[Callable[[], None]] = []
    stream = telemetry.BoundedStream(descriptor=pipe[1], clock=ManualClock())
    with stream.gathering(lambda delay, call: scheduled.append(call)):
        stream.write('a\n')
        stream.write('b\n')
        assert len(scheduled) == 1
        scheduled[0]()
        assert os.read(pipe[0], 100) == b'a\nb\n'
        stream.write('c\n')
    assert os.read(pipe[0], 100) == b'c\n'
