"""Parsing of addresses and ports."""

import ipaddress

from medlarquay.addresses import node_address

__all__ = ('parse_address', 'parse_port')

_MAX_PORT = 65535


def parse_address(text: str) -> node_address.NodeAddress:
    """Parse an address of the form ``host:port``; IPv6 hosts in brackets.

    Raises
    ------
    ValueError
        If the host is not an IP address or the port is out of range.

    Examples
    --------
    >>> str(parse_address('[::1]:80'))
    '[::1]:80'
    """
    host, _, port = text.rpartition(':')
    if host.startswith('[') and host.endswith(']'):
        host = str(ipaddress.IPv6Address(host[1:-1]))
    else:
        host = str(ipaddress.IPv4Address(host))
    return node_address.NodeAddress(host=host, port=parse_port(port))


def parse_port(text: str) -> int:
    """Parse a TCP port number.

    Raises
    ------
    ValueError
        If the text is not an integer from 1 to 65,535.
    """
    # int() alone would also accept signs, spaces and underscores.
    if text.isascii() and text.isdigit() and 1 <= int(text) <= _MAX_PORT:
        return int(text)
    raise ValueError(f'port must be 1 to {_MAX_PORT}')
