"""Timers of a node on the platform while the time of day is set."""

import pathlib

import pytest

from medlarquay.testing import clock_step

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
def test_timers_do_not_follow_the_time_of_day(
    step_s: int, tmp_path: pathlib.Path
) -> None:
    """Guards against timers that are late or early after a clock step.

    A node whose time of day was put back sent changes, probes and reads of
    the store late.
    """
    settings = tmp_path / 'settings.conf'
    settings.write_text(_SETTINGS)
    assert clock_step.fires_in_time(
        'medlarquay.platform.main',
        step_s=step_s,
        variables={'MEDLARQUAY_CONFIG': str(settings)},
    )
