"""Timers of a node while the time of day is set."""

import pytest

from medlarquay.testing import clock_step

_FLAGS = (
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


@pytest.mark.parametrize('step_s', [-3600, 3600])
def test_timers_do_not_follow_the_time_of_day(step_s: int) -> None:
    """Guards against timers that are late or early after a clock step.

    A node whose time of day was put back sent changes, probes and reads of
    the source late.
    """
    assert clock_step.fires_in_time(
        'medlarquay.daemon.main', step_s=step_s, flags=_FLAGS, variables={}
    )
