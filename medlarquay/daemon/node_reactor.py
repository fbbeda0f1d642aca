"""Reactor of a node."""

import time

from twisted.internet import epollreactor, interfaces, main, protocol

from medlarquay import transport

__all__ = ('NodeReactor', 'load_reactor')

_BACKLOG = 50


class NodeReactor(epollreactor.EPollReactor):
    """Reactor with monotonic timers and with ports that pause.

    Notes
    -----
    The reactor of Twisted measures its timers by the time of day. They would
    fire late or early by the step when that is set back or ahead, while all
    deadlines of a node are on the monotonic clock. Its ports try again without
    a wait when there is no descriptor for a connection.
    """

    def __init__(self) -> None:
        super().__init__()
        self.seconds = time.monotonic

    def listenTCP(  # noqa: N802
        self,
        port: int,
        factory: protocol.Factory,
        backlog: int = _BACKLOG,
        interface: str = '',
    ) -> interfaces.IListeningPort:
        """Accept connections on one address.

        Parameters
        ----------
        port : int
            Port; the kernel chooses it if it is 0.
        factory : Factory
            Builds the protocol of each connection.
        backlog : int
            Number of connections that may wait to be accepted.
        interface : str
            Address to listen on; empty for all.

        Raises
        ------
        CannotListenError
            If the address cannot be listened on.
        """
        listening = transport.AcceptingPort(
            port, factory, backlog, interface, self
        )
        listening.startListening()
        return listening


def load_reactor() -> NodeReactor:
    """Install the reactor of the process and return it."""
    reactor = NodeReactor()
    main.installReactor(reactor)
    return reactor
