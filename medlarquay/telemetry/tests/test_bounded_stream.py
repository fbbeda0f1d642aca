"""Tests of the non-blocking, rate-limited stream of log lines."""

import os
from collections.abc import Callable, Iterator

import logbook
import pytest

from medlarquay import telemetry


class ManualClock:
    """Clock that the test sets."""

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


def test_write_does_not_block_on_a_stopped_reader(
    pipe: tuple[int, int],
) -> None:
    """Guards against a node that blocks when the reader of its logs stops."""
    clock = ManualClock()
    stream = telemetry.BoundedStream(descriptor=pipe[1], clock=clock)
    line = 'x' * 1000 + '\n'
    for _ in range(1500):
        stream.write(line)
    assert stream.dropped
    os.set_blocking(pipe[0], False)
    assert os.read(pipe[0], len(line)).decode() == line


def test_rate_is_limited_and_dropped_lines_are_counted(
    pipe: tuple[int, int],
) -> None:
    """Guards against logging that uses up the processor in an overload."""
    clock = ManualClock()
    stream = telemetry.BoundedStream(descriptor=pipe[1], clock=clock)
    for _ in range(2100):
        stream.write('a\n')
    assert stream.dropped == 100
    clock.now = 1
    stream.write('b\n')
    text = os.read(pipe[0], 1 << 16).decode()
    assert text.endswith('logs: dropped=100\nb\n')


def test_lines_are_written_in_batches(pipe: tuple[int, int]) -> None:
    """Guards against a system call for each line."""
    scheduled: list[Callable[[], None]] = []
    stream = telemetry.BoundedStream(descriptor=pipe[1], clock=ManualClock())
    with stream.batching(lambda delay, call: scheduled.append(call)):
        stream.write('a\n')
        stream.write('b\n')
        assert len(scheduled) == 1
        scheduled[0]()
        assert os.read(pipe[0], 100) == b'a\nb\n'
        stream.write('c\n')
    assert os.read(pipe[0], 100) == b'c\n'


def test_log_handler_does_not_end_batches(pipe: tuple[int, int]) -> None:
    """Guards against a handler that flushes its stream after each line."""
    scheduled: list[Callable[[], None]] = []
    stream = telemetry.BoundedStream(descriptor=pipe[1], clock=ManualClock())
    os.set_blocking(pipe[0], False)
    with stream.batching(lambda delay, call: scheduled.append(call)):
        with logbook.StreamHandler(stream).applicationbound():
            for number in range(3):
                logbook.Logger('test').info('line {}', number)
        with pytest.raises(BlockingIOError):
            os.read(pipe[0], 1)
        scheduled[0]()
    assert os.read(pipe[0], 1000).count(b'line') == 3
