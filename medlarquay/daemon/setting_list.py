"""All settings of the daemon."""

import functools

from medlarquay import addresses
from medlarquay.daemon import checks, setting

__all__ = ('SETTINGS',)

# Shorter than a second, a duplicate would not meet its first attempt.
_MIN_RETENTION_S = 1
_MAX_RETENTION_S = 86400
_MAX_DRAIN_S = 3600
_MIN_LINK_MBPS = 0.1

SETTINGS = (
    setting.Setting(
        name='instance',
        check=checks.name,
        summary='instance beside which the node runs',
    ),
    setting.Setting(
        name='region',
        check=checks.name,
        summary='region in which the instance runs',
    ),
    setting.Setting(
        name='data-centre',
        check=checks.name,
        summary='data centre in which the instance runs',
    ),
    setting.Setting(
        name='host',
        check=checks.ip_address,
        summary='IP address to listen on',
    ),
    setting.Setting(
        name='caller-port',
        check=addresses.parse_port,
        summary='TCP port for callers',
    ),
    setting.Setting(
        name='peer-port',
        check=addresses.parse_port,
        summary='TCP port for other nodes',
    ),
    setting.Setting(
        name='admin-port',
        check=addresses.parse_port,
        summary='TCP port for operators',
    ),
    setting.Setting(
        name='backend-host',
        check=checks.ip_address,
        summary='IP address of the local backend server',
    ),
    setting.Setting(
        name='backend-port',
        check=addresses.parse_port,
        summary='TCP port of the local backend server',
    ),
    setting.Setting(
        name='source-url',
        check=checks.source_url,
        summary='address of the configuration service',
    ),
    setting.Setting(
        name='seed',
        check=addresses.parse_address,
        summary='host:peer-port of a node to ask at start',
        default='',
        repeated=True,
    ),
    setting.Setting(
        name='key-retention-s',
        check=functools.partial(
            checks.seconds,
            low=_MIN_RETENTION_S,
            high=_MAX_RETENTION_S,
        ),
        summary='time for which the result of an idempotency key is kept',
        default='600',
    ),
    setting.Setting(
        name='drain-timeout-s',
        check=functools.partial(checks.seconds, low=0, high=_MAX_DRAIN_S),
        summary='longest time for a graceful stop',
        default='30',
    ),
    setting.Setting(
        name='link-mbps',
        check=functools.partial(checks.link_rate, low=_MIN_LINK_MBPS),
        summary='what the link of the machine carries, in Mbit/s',
        default='inf',
        attribute='link_bytes_per_s',
    ),
    setting.Setting(
        name='log-level',
        check=checks.log_level,
        summary='least level of the log lines that are written',
        default='info',
    ),
)
