"""Ports of the relays in front of processes."""

from bench import managed_process

__all__ = ('relay_ports',)

_RELAY = 'relay '


def relay_ports(process: managed_process.ManagedProcess) -> dict[int, int]:
    """Return the ports that a relay process listens on, by target port."""
    process.port()
    ports = {}
    for line in process.lines():
        if line.startswith(_RELAY):
            target, port = line.removeprefix(_RELAY).split()
            ports[int(target)] = int(port)
    return ports
