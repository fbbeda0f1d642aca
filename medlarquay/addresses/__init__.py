"""Network addresses of nodes."""

from medlarquay.addresses.node_address import NodeAddress
from medlarquay.addresses.parse import parse_address, parse_port

__all__ = ('NodeAddress', 'parse_address', 'parse_port')
