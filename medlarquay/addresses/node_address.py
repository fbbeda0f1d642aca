"""IP address and TCP port on which a node listens."""

import dataclasses

__all__ = ('NodeAddress',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class NodeAddress:
    """IP address and TCP port on which a node listens.

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
