"""Program of a node whose time of day is set while a timer runs."""

import subprocess
import sys
from collections.abc import Mapping, Sequence

__all__ = ('fires_in_time',)

# Longest time in seconds that a timer of 0.2 s may take on a busy machine; with
# the fault it takes an hour.
_TIMEOUT_S = 20
_PROGRAM = """
import sys, time
time_of_day = time.time
step = 0
size = float(sys.argv[2])
time.time = lambda: time_of_day() + step

import importlib
from medlarquay.daemon import node, signals
from medlarquay.tasks import alarm, task

def set_clock():
    global step
    step = size

class Sleeper(task.Task):
    def receive(self, message):
        print(time.monotonic() >= self.due_at, flush=True)
        self.reactor.stop()

def start_node(*, reactor, **kept):
    reactor.callLater(0.05, set_clock)
    sleeper = Sleeper(name='sleeper')
    sleeper.reactor = reactor
    timer = alarm.Alarm(reactor=reactor, clock=time.monotonic, target=sleeper)
    sleeper.due_at = time.monotonic() + 0.2
    timer.wake_at(sleeper.due_at)
    return timer

node.start_node = start_node
front_end = importlib.import_module(sys.argv[1])
sys.argv = ['node', *sys.argv[3:]]
front_end.run()
"""


def fires_in_time(
    front_end: str,
    *,
    step_s: float,
    flags: Sequence[str] = (),
    variables: Mapping[str, str],
) -> bool:
    """Return whether a timer of a node fires in time after a clock step.

    Parameters
    ----------
    front_end : str
        Module of the program.
    step_s : float
        Step of the time of day, in seconds.
    flags : sequence of str
        Flags of the program.
    variables : Mapping
        Environment of the program.
    """
    finished = subprocess.run(
        [sys.executable, '-c', _PROGRAM, front_end, str(step_s), *flags],
        env=variables,
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
        check=False,
    )
    return 'True' in finished.stdout.split()
