"""Address of one port of a node."""

import dataclasses

__all__ = ('NodeAddress',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class NodeAddress:
    """Address of one port of a node.

    Attributes
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``, with brackets around an IPv6 address."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'
