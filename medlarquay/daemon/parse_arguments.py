"""Settings from flags and environment variables."""

import argparse
import os
from collections.abc import Sequence

from medlarquay import ids
from medlarquay.daemon import node_settings

__all__ = ('parse_arguments',)

_PREFIX = 'MEDLARQUAY_'


def parse_arguments(
    arguments: Sequence[str] | None = None,
) -> node_settings.NodeSettings:
    """Return the checked settings; exit with code 2 on a bad one."""
    parser = argparse.ArgumentParser(
        prog='medlarquayd',
        description='Node of the medlarquay service mesh.',
    )
    for flag in ('instance', 'region', 'data-centre', 'host', 'source-url'):
        _add(parser, flag, str)
    for flag in ('caller-port', 'peer-port', 'admin-port', 'backend-port'):
        _add(parser, flag, int)
    _add(parser, 'backend-host', str)
    _add_seeds(parser)
    found = parser.parse_args(arguments)
    return node_settings.NodeSettings(
        instance=ids.InstanceId(found.instance),
        region=ids.RegionName(found.region),
        data_centre=ids.DataCentreName(found.data_centre),
        host=found.host,
        caller_port=found.caller_port,
        peer_port=found.peer_port,
        admin_port=found.admin_port,
        backend_host=found.backend_host,
        backend_port=found.backend_port,
        source_url=found.source_url,
        seeds=tuple(found.seeds),
    )


def _add(
    parser: argparse.ArgumentParser,
    flag: str,
    kind: type[str] | type[int],
) -> None:
    variable = _PREFIX + flag.upper().replace('-', '_')
    default = os.environ.get(variable)
    parser.add_argument(
        f'--{flag}',
        type=kind,
        default=default,
        required=default is None,
        help=f'environment variable {variable}',
    )


def _add_seeds(parser: argparse.ArgumentParser) -> None:
    variable = f'{_PREFIX}SEEDS'
    listed = os.environ.get(variable, '')
    default = [_parse_seed(text) for text in listed.split(',') if text]
    parser.add_argument(
        '--seed',
        dest='seeds',
        type=_parse_seed,
        action='append',
        default=default,
        metavar='HOST:PORT',
        help=f'repeated; environment variable {variable}, comma separated',
    )


def _parse_seed(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(':')
    if host and port.isdecimal():
        return host, int(port)
    raise argparse.ArgumentTypeError(f'{text!r} is not of the form host:port')
