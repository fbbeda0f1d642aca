"""State machine of the health of the local backend server."""

import typing

import automat

__all__ = ('HealthActions', 'HealthInputs', 'build_health')


class HealthActions(typing.Protocol):
    """What the machine asks of the task that owns the connections."""

    def probe(self) -> None:
        """Open a connection now."""

    def probe_later(self) -> None:
        """Open a connection after a delay, unless one is under way."""

    def report_down(self) -> None:
        """Report that the backend server is down."""

    def report_losses(self) -> None:
        """Report connections lost while the backend server is down."""

    def report_up(self) -> None:
        """Report that the backend server is up."""

    def settle_losses(self) -> None:
        """Decide on lost connections of a backend server that accepts."""


class HealthInputs(typing.Protocol):
    """What the connections show of the backend server."""

    def connection_lost(self) -> None:
        """A connection with a request in flight was lost."""

    def connection_refused(self) -> None:
        """A new connection was refused or timed out."""

    def connection_accepted(self) -> None:
        """A probing connection was accepted."""


_builder = automat.TypeMachineBuilder(HealthInputs, HealthActions)
_up = _builder.state('up')
_checking = _builder.state('checking')
_down = _builder.state('down')


@_up.upon(HealthInputs.connection_lost).to(_checking)
def _check(inputs: HealthInputs, actions: HealthActions) -> None:
    actions.probe()


@_up.upon(HealthInputs.connection_refused).to(_down)
@_checking.upon(HealthInputs.connection_refused).to(_down)
def _fall(inputs: HealthInputs, actions: HealthActions) -> None:
    actions.report_down()
    actions.probe_later()


@_down.upon(HealthInputs.connection_lost).loop()
def _probe_again(inputs: HealthInputs, actions: HealthActions) -> None:
    actions.probe()


@_checking.upon(HealthInputs.connection_accepted).to(_up)
def _settle(inputs: HealthInputs, actions: HealthActions) -> None:
    actions.settle_losses()


@_down.upon(HealthInputs.connection_accepted).to(_up)
def _rise(inputs: HealthInputs, actions: HealthActions) -> None:
    actions.report_up()


@_down.upon(HealthInputs.connection_refused).loop()
def _wait(inputs: HealthInputs, actions: HealthActions) -> None:
    actions.report_losses()
    actions.probe_later()


_up.upon(HealthInputs.connection_accepted).loop().returns(None)
_checking.upon(HealthInputs.connection_lost).loop().returns(None)
_machine = _builder.build()


def build_health(actions: HealthActions) -> HealthInputs:
    """Return a machine in the state ``up``."""
    return typing.cast('HealthInputs', _machine(actions))
