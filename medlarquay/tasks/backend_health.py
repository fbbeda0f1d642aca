"""State machine of the health of the local backend server."""

import typing

import automat

__all__ = ('HealthActions', 'HealthInputs', 'build_health')


class HealthActions(typing.Protocol):
    """Outputs of the machine, carried out by the ``Backend`` task."""

    def probe(self) -> None:
        """Open a probing connection now."""

    def probe_later(self) -> None:
        """Schedule a probing connection, unless one is pending."""

    def report_down(self) -> None:
        """Report that the backend server is down."""

    def report_losses_while_down(self) -> None:
        """Report connections lost while the backend server is down."""

    def report_up(self) -> None:
        """Report that the backend server is up."""

    def report_losses_while_up(self) -> None:
        """Report lost connections of a backend server that still accepts."""


class HealthInputs(typing.Protocol):
    """Inputs of the machine: events on connections to the backend server."""

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
def _start_check(inputs: HealthInputs, actions: HealthActions) -> None:
    actions.probe()


@_up.upon(HealthInputs.connection_refused).to(_down)
@_checking.upon(HealthInputs.connection_refused).to(_down)
def _go_down(inputs: HealthInputs, actions: HealthActions) -> None:
    actions.report_down()
    actions.probe_later()


@_down.upon(HealthInputs.connection_lost).loop()
def _probe_while_down(inputs: HealthInputs, actions: HealthActions) -> None:
    actions.probe()


@_checking.upon(HealthInputs.connection_accepted).to(_up)
def _end_check(inputs: HealthInputs, actions: HealthActions) -> None:
    actions.report_losses_while_up()


@_down.upon(HealthInputs.connection_accepted).to(_up)
def _go_up(inputs: HealthInputs, actions: HealthActions) -> None:
    actions.report_up()


@_down.upon(HealthInputs.connection_refused).loop()
def _stay_down(inputs: HealthInputs, actions: HealthActions) -> None:
    actions.report_losses_while_down()
    actions.probe_later()


_up.upon(HealthInputs.connection_accepted).loop().returns(None)
_checking.upon(HealthInputs.connection_lost).loop().returns(None)
_machine = _builder.build()


def build_health(actions: HealthActions) -> HealthInputs:
    """Return a machine in the state ``up``."""
    return typing.cast('HealthInputs', _machine(actions))
