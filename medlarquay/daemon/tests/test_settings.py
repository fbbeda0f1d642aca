"""Tests for the settings from flags and environment variables."""

import math
from types import MappingProxyType

import pytest

from medlarquay import addresses
from medlarquay.daemon import (
    node_settings,
    parse_arguments,
    setting_list,
)

_VARIABLES = MappingProxyType({
    'MEDLARQUAY_INSTANCE': 'i1',
    'MEDLARQUAY_REGION': 'palermo',
    'MEDLARQUAY_DATA_CENTRE': 'pa1',
    'MEDLARQUAY_HOST': '127.0.0.1',
    'MEDLARQUAY_CALLER_PORT': '8000',
    'MEDLARQUAY_PEER_PORT': '8001',
    'MEDLARQUAY_ADMIN_PORT': '8002',
    'MEDLARQUAY_BACKEND_HOST': '127.0.0.1',
    'MEDLARQUAY_BACKEND_PORT': '9000',
    'MEDLARQUAY_SOURCE_URL': 'http://source.example:7000/',
    'MEDLARQUAY_SEED': '10.0.0.1:8001, 10.0.0.2:8001',
})


def _parse(*flags: str, **variables: str) -> node_settings.NodeSettings:
    return parse_arguments.parse_arguments(
        flags,
        environment={**_VARIABLES, **variables},
    )


def test_variables_give_settings_and_defaults() -> None:
    """Guards against an ignored variable or a changed default."""
    settings = _parse()
    assert settings.admin_port == 8002
    assert settings.source_url == 'http://source.example:7000'
    assert [str(seed) for seed in settings.seed] == [
        '10.0.0.1:8001',
        '10.0.0.2:8001',
    ]
    assert (settings.key_retention_s, settings.drain_timeout_s) == (600, 30)
    assert math.isinf(settings.link_bytes_per_s)


def test_flag_takes_precedence_over_variable() -> None:
    """Guards against a flag that is overridden by a variable."""
    settings = _parse('--admin-port', '9002', '--seed', '[::1]:1')
    assert settings.admin_port == 9002
    assert settings.seed == (addresses.NodeAddress(host='::1', port=1),)


def test_link_rate_is_converted_to_bytes() -> None:
    """Guards against a rate in Mbit/s that is used as bytes per second."""
    variable = {'MEDLARQUAY_LINK_MBPS': '3.5'}
    assert _parse('--link-mbps', '8').link_bytes_per_s == 1_000_000
    assert _parse(**variable).link_bytes_per_s == 437_500


@pytest.mark.parametrize(
    ('name', 'text', 'rule'),
    [
        ('instance', '', 'must be 1 to 128'),
        ('region', 'a b', 'must be 1 to 128'),
        ('host', 'localhost', 'must be an IP address'),
        ('caller-port', '0', 'port must be 1 to 65535'),
        ('peer-port', '8000', 'must differ'),
        ('backend-port', '٣', 'port must be 1 to 65535'),
        ('source-url', 'ftp://x', 'must be an http URL'),
        ('source-url', 'http://', 'must be an http URL'),
        ('source-url', 'http://x:99999', 'out of range'),
        ('source-url', 'http://[x', 'Invalid IPv6'),
        ('seed', 'localhost:1', 'localhost'),
        ('key-retention-s', '0', 'must be 1 to 86400'),
        ('drain-timeout-s', 'nan', 'must be 0 to 3600'),
        ('link-mbps', '0', 'must be 0.1 Mbit/s or more'),
        ('link-mbps', 'nan', 'must be 0.1 Mbit/s or more'),
        ('log-level', 'loud', 'must be one of'),
    ],
)
def test_bad_setting_exits_with_its_rule(
    capsys: pytest.CaptureFixture[str], name: str, text: str, rule: str
) -> None:
    """Guards against a node that starts with an invalid setting."""
    variable = 'MEDLARQUAY_{}'.format(name.upper().replace('-', '_'))
    for arguments, variables in (
        ((f'--{name}={text}',), {}),
        ((), {variable: text}),
    ):
        with pytest.raises(SystemExit) as raised:
            _parse(*arguments, **variables)
        assert raised.value.code == 2
        problem = capsys.readouterr().err.partition('error: ')[2]
        assert f'--{name}' in problem
        assert rule in problem


def test_missing_required_setting_is_reported(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a node that starts without a required setting."""
    for option in setting_list.SETTINGS:
        if option.default is None:
            variables = {**_VARIABLES}
            variables.pop(option.variable)
            with pytest.raises(SystemExit) as raised:
                parse_arguments.parse_arguments((), environment=variables)
            assert raised.value.code == 2
            assert f'{option.flag} (' in capsys.readouterr().err
