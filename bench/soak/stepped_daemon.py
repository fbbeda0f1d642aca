"""The daemon with a time of day that signals set back and ahead.

SIGUSR1 sets the time of day back by 3 s, SIGUSR2 ahead; the same signal again
undoes it. Flags are those of the daemon.
"""

import signal
import time
from types import FrameType, MappingProxyType

__all__ = ('main',)

_STEPS_S = MappingProxyType({signal.SIGUSR1: -3, signal.SIGUSR2: 3})


class _SteppedTime:
    """Time of day that signals set back and ahead."""

    def __init__(self) -> None:
        self._time_of_day = time.time
        self._active: set[int] = set()

    def seconds(self) -> float:
        """Return Unix time in seconds, with the steps."""
        return self._time_of_day() + sum(
            _STEPS_S[signal.Signals(number)] for number in self._active
        )

    def toggle(self, number: int, frame: FrameType | None) -> None:
        """Set the time of day, or set it right again."""
        self._active ^= {number}


def main() -> None:
    """Run the daemon until it is stopped by a signal."""
    stepped = _SteppedTime()
    for number in _STEPS_S:
        signal.signal(number, stepped.toggle)
    # Set before any library keeps a reference to the function.
    time.time = stepped.seconds
    from medlarquay.daemon import main as daemon  # noqa: PLC0415

    daemon.run()


if __name__ == '__main__':
    main()
