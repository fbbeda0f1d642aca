"""Reads the ports on which a relay process listens."""

from bench import managed_process

__all__ = ('relay_ports',)

_LINE_PREFIX = 'relay '


def relay_ports(process: managed_process.ManagedProcess) -> dict[int, int]:
    """Return the ports on which a relay process listens, by target port.

    Waits until the relay has printed them.
    """
    process.port()
    ports = {}
    for line in process.lines():
        if line.startswith(_LINE_PREFIX):
            target, port = line.removeprefix(_LINE_PREFIX).split()
            ports[int(target)] = int(port)
    return ports
