"""Timers of a node while the time of day is set."""

import pathlib
import subprocess
import sys

import pytest

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
_DAEMON_FLAGS = (
    '--instance=a',
    '--region=r',
    '--data-centre=d',
    '--host=127.0.0.1',
    '--caller-port=1',
    '--peer-port=2',
    '--admin-port=3',
    '--backend-host=127.0.0.1',
    '--backend-port=4',
    '--source-url=http://127.0.0.1:1',
)
_SETTINGS = """
ip=127.0.0.1
zone=pa-a
region=palermo
zones.pa-a=palermo
service=portal
bind.outbound=127.0.0.1:1
bind.readiness=127.0.0.1:1
app_addr=127.0.0.1:1
platform.address=127.0.0.1:1
internal_ports=1,2
"""


@pytest.mark.parametrize('step_s', [-3600, 3600])
@pytest.mark.parametrize('front_end', ['daemon', 'platform'])
def test_timers_do_not_follow_the_time_of_day(
    front_end: str, step_s: int, tmp_path: pathlib.Path
) -> None:
    """Guards against timers that are late or early after a clock step.

    A node whose time of day was put back sent changes, probes and reads of
    the source late.
    """
    settings = tmp_path / 'settings.conf'
    settings.write_text(_SETTINGS)
    flags = _DAEMON_FLAGS if front_end == 'daemon' else ()
    finished = subprocess.run(
        [
            sys.executable,
            '-c',
            _PROGRAM,
            f'medlarquay.{front_end}.main',
            str(step_s),
            *flags,
        ],
        env={'MEDLARQUAY_CONFIG': str(settings)},
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
        check=False,
    )
    assert 'True' in finished.stdout.split(), finished
