"""One relayed connection."""

from twisted.protocols import portforward

__all__ = ('RelayClientFactory', 'RelayFactory', 'RelayServer')


class _RelayClient(portforward.ProxyClient):
    """Side of the target."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Count and pass on what the target sent."""
        self.factory.server.factory.carried += len(data)
        super().dataReceived(data)


class RelayClientFactory(portforward.ProxyClientFactory):
    """Connects to the target."""

    noisy = False
    protocol = _RelayClient


class RelayServer(portforward.ProxyServer):
    """Side of the connecting process."""

    clientProtocolFactory = RelayClientFactory  # noqa: N815

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Count and pass on what the connecting process sent."""
        self.factory.carried += len(data)
        super().dataReceived(data)


class RelayFactory(portforward.ProxyFactory):
    """Relays each accepted connection and counts the bytes carried."""

    noisy = False
    protocol = RelayServer

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self.carried = 0
