"""Tests of reading the settings file."""

import math

import hypothesis
import logbook
import pytest
from hypothesis import strategies as st

from medlarquay import errors
from medlarquay.platform import settings_file

LINES = (
    'node_name=sidecar-x-1',
    'ip=10.1.0.41',
    'zone=north-a',
    'region=north',
    'zones.north-a=north',
    'zones.south-a=south',
    'bind.outbound=10.1.0.41:8629',
    'bind.readiness=10.1.0.41:8625',
    'internal_ports=7600,7615',
    'limits.link_mbps=3.5',
    'bounds=drain=2500ms,grace=6s',
    'app_addr=10.1.0.41:8628',
    'service=desk',
    'platform.address=10.200.1.7:8627',
)


def _replace_field(name: str, text: str) -> str:
    kept = [line for line in LINES if not line.startswith(f'{name}=')]
    return '\n'.join([*kept, f'{name}={text}'])


def test_all_fields_are_read() -> None:
    """Guards against a field that is read from the wrong line."""
    parsed = settings_file.parse_settings('\n'.join(LINES))
    assert (parsed.host, parsed.peer_port, parsed.admin_port) == (
        '10.1.0.41',
        7600,
        7615,
    )
    assert parsed.regions == {'north-a': 'north', 'south-a': 'south'}
    assert str(parsed.callers) == '10.1.0.41:8629'
    assert str(parsed.backend) == '10.1.0.41:8628'
    assert str(parsed.store) == '10.200.1.7:8627'
    assert (parsed.drain_timeout_s, parsed.link_bytes_per_s) == (6, 437_500)


def test_unknown_fields_and_other_lines_are_ignored() -> None:
    """Guards against a start that fails because the platform adds a field."""
    content = '\n'.join([*LINES, 'new.field=1', '', 'no field'])
    assert settings_file.parse_settings(content).service == 'desk'


def test_link_without_a_rate_is_unlimited() -> None:
    """Guards against a start that fails where no rate is stated."""
    kept = [line for line in LINES if not line.startswith('limits.')]
    parsed = settings_file.parse_settings('\n'.join(kept))
    assert math.isinf(parsed.link_bytes_per_s)


@pytest.mark.parametrize(
    ('name', 'text'),
    [
        ('ip', ''),
        ('internal_ports', '7600'),
        ('internal_ports', '7615,7600'),
        ('app_addr', '10.1.0.41'),
        ('bind.readiness', '10.1.0.41:0'),
        ('platform.address', 'store:80'),
        ('internal_ports', '7600,-1'),
        ('bind.outbound', '10.1.0.41:99999'),
        ('service', ''),
        ('zone', ''),
        ('region', ''),
    ],
)
def test_error_names_the_bad_field(name: str, text: str) -> None:
    """Guards against a node that starts with an unusable address or value."""
    with pytest.raises(errors.SettingError, match=name):
        settings_file.parse_settings(_replace_field(name, text))


@pytest.mark.parametrize(
    ('text', 'expected'),
    [('58', 58), ('30.714285714285715', 30), ('0', 0), ('1e3', 1000)],
)
def test_retry_allowance_may_be_a_fraction(text: str, expected: int) -> None:
    """Guards against a fleet that does not start over a fraction."""
    parsed = settings_file.parse_settings(
        _replace_field('bounds', f'budget_extra={text}')
    )
    assert parsed.fleet_burst == expected


@pytest.mark.parametrize(
    ('name', 'text', 'field'),
    [
        ('limits.link_mbps', 'nan', 'limits.link_mbps'),
        ('limits.link_mbps', 'fast', 'limits.link_mbps'),
        ('limits.link_mbps', '-3', 'limits.link_mbps'),
        ('bounds', 'grace=soon', 'bounds.grace'),
        ('bounds', 'grace=true', 'bounds.grace'),
        ('bounds', 'drain=soon', 'bounds.drain'),
        ('bounds', 'budget_extra=-1', 'bounds.budget_extra'),
        ('bounds', 'budget_extra=inf', 'bounds.budget_extra'),
        ('bounds', 'budget_extra=false', 'bounds.budget_extra'),
    ],
)
def test_invalid_optional_field_falls_back_with_one_warning(
    name: str,
    text: str,
    field: str,
) -> None:
    """Guards against a node that stays down over a field it can do without."""
    with logbook.TestHandler() as handler:
        parsed = settings_file.parse_settings(_replace_field(name, text))
    assert len(handler.records) == 1
    assert handler.records[0].message.startswith(f'{field} is ')
    if field == 'limits.link_mbps':
        assert math.isinf(parsed.link_bytes_per_s)
    else:
        assert (parsed.drain_timeout_s, parsed.fleet_burst) == (6, None)


@hypothesis.given(
    name=st.sampled_from([line.partition('=')[0] for line in LINES]),
    text=st.text(st.characters(exclude_categories=('Cc', 'Cs', 'Zl', 'Zp'))),
)
@hypothesis.settings(derandomize=True)
def test_any_text_is_read_or_refused_by_name(name: str, text: str) -> None:
    """Guards against a traceback for a text that no rule foresaw."""
    try:
        parsed = settings_file.parse_settings(_replace_field(name, text))
    except errors.SettingError as failure:
        assert name in str(failure)
    else:
        assert parsed.drain_timeout_s >= 0
        assert parsed.link_bytes_per_s > 0


def test_error_names_the_missing_file() -> None:
    """Guards against a traceback instead of an error that names the file."""
    with pytest.raises(errors.SettingError, match='/nowhere'):
        settings_file.read_settings('/nowhere/settings.conf')
