"""Relayed connection that counts its bytes."""

from twisted.protocols import portforward

__all__ = ('RelayClientFactory', 'RelayFactory', 'RelayServer')


class _RelayClient(portforward.ProxyClient):
    """Connection to the target."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Count and forward bytes of the target."""
        self.factory.server.factory.carried_bytes += len(data)
        super().dataReceived(data)


class RelayClientFactory(portforward.ProxyClientFactory):
    """Connects to the target."""

    noisy = False
    protocol = _RelayClient


class RelayServer(portforward.ProxyServer):
    """Connection from the client process."""

    clientProtocolFactory = RelayClientFactory  # noqa: N815

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Count and forward bytes of the client process."""
        self.factory.carried_bytes += len(data)
        super().dataReceived(data)


class RelayFactory(portforward.ProxyFactory):
    """Relays each accepted connection and counts the bytes."""

    noisy = False
    protocol = RelayServer

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self.carried_bytes = 0
