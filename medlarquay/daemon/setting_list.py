"""All settings of the daemon."""

import functools

from medlarquay import addresses
from medlarquay.daemon import parsers, setting

__all__ = ('SETTINGS',)

# With a retention below a second, a duplicate request would arrive after the
# result of its first attempt has expired.
_MIN_RETENTION_S = 1
_MAX_RETENTION_S = 86400
_MAX_DRAIN_S = 3600
_MIN_LINK_MBPS = 0.1

SETTINGS = (
    setting.Setting(
        name='instance',
        parse=parsers.name,
        summary='instance beside which the node runs',
    ),
    setting.Setting(
        name='region',
        parse=parsers.name,
        summary='region in which the instance runs',
    ),
    setting.Setting(
        name='data-centre',
        parse=parsers.name,
        summary='data centre in which the instance runs',
    ),
    setting.Setting(
        name='host',
        parse=parsers.ip_address,
        summary='IP address to listen on',
    ),
    setting.Setting(
        name='caller-port',
        parse=addresses.parse_port,
        summary='TCP port for callers',
    ),
    setting.Setting(
        name='peer-port',
        parse=addresses.parse_port,
        summary='TCP port for other nodes',
    ),
    setting.Setting(
        name='admin-port',
        parse=addresses.parse_port,
        summary='TCP port for operators',
    ),
    setting.Setting(
        name='backend-host',
        parse=parsers.ip_address,
        summary='IP address of the local backend server',
    ),
    setting.Setting(
        name='backend-port',
        parse=addresses.parse_port,
        summary='TCP port of the local backend server',
    ),
    setting.Setting(
        name='source-url',
        parse=parsers.source_url,
        summary='address of the configuration service',
    ),
    setting.Setting(
        name='seed',
        parse=addresses.parse_address,
        summary='host:peer-port of a node to ask at start',
        default='',
        repeated=True,
    ),
    setting.Setting(
        name='key-retention-s',
        parse=functools.partial(
            parsers.seconds,
            low=_MIN_RETENTION_S,
            high=_MAX_RETENTION_S,
        ),
        summary='time for which the result of an idempotency key is kept',
        default='600',
    ),
    setting.Setting(
        name='drain-timeout-s',
        parse=functools.partial(parsers.seconds, low=0, high=_MAX_DRAIN_S),
        summary='longest time for a graceful stop',
        default='30',
    ),
    setting.Setting(
        name='leaving-s',
        parse=functools.partial(parsers.seconds, low=0, high=_MAX_DRAIN_S),
        summary='time for which a leaving backend server gets queued requests',
        default='2',
    ),
    setting.Setting(
        name='link-mbps',
        parse=functools.partial(parsers.link_rate, low=_MIN_LINK_MBPS),
        summary='what the link of the machine carries, in Mbit/s',
        default='inf',
        attribute='link_bytes_per_s',
    ),
    setting.Setting(
        name='log-level',
        parse=parsers.log_level,
        summary='least level of the log lines that are written',
        default='info',
    ),
)
