"""State machine of the reads of one tree of the source."""

from typing import Protocol

import automat

from medlarquay import states

__all__ = ('ReadingActions', 'ReadingMachine', 'build_machine')


class ReadingMachine(Protocol):
    """Inputs of the machine."""

    def choose(self, mode: states.ReadingMode) -> None:
        """Read from now on."""

    def stop(self) -> None:
        """Read no longer."""

    def due(self) -> None:
        """Send the next read."""

    def ended(self) -> None:
        """Note that a read was answered or failed."""


class ReadingActions(Protocol):
    """What the machine asks of its task."""

    def plan(self) -> None:
        """Schedule the next read."""

    def read(self) -> None:
        """Send a read."""


_builder = automat.TypeMachineBuilder(ReadingMachine, ReadingActions)
_stopped = _builder.state('stopped')
_waiting = _builder.state('waiting')
_reading = _builder.state('reading')
# A read in flight when the node stops reading; its answer is still used.
_finishing = _builder.state('finishing')


@_stopped.upon(ReadingMachine.choose).to(_waiting)
@_waiting.upon(ReadingMachine.choose).loop()
def _choose(
    machine: ReadingMachine,
    actions: ReadingActions,
    mode: states.ReadingMode,
) -> None:
    actions.plan()


@_waiting.upon(ReadingMachine.due).to(_reading)
def _send(machine: ReadingMachine, actions: ReadingActions) -> None:
    actions.read()


@_reading.upon(ReadingMachine.ended).to(_waiting)
def _plan_next(machine: ReadingMachine, actions: ReadingActions) -> None:
    actions.plan()


_reading.upon(ReadingMachine.choose).loop().returns(None)
_finishing.upon(ReadingMachine.choose).to(_reading).returns(None)
_waiting.upon(ReadingMachine.stop).to(_stopped).returns(None)
_reading.upon(ReadingMachine.stop).to(_finishing).returns(None)
_stopped.upon(ReadingMachine.stop).loop().returns(None)
_finishing.upon(ReadingMachine.stop).loop().returns(None)
_finishing.upon(ReadingMachine.ended).to(_stopped).returns(None)
_stopped.upon(ReadingMachine.due).loop().returns(None)
_reading.upon(ReadingMachine.due).loop().returns(None)
_finishing.upon(ReadingMachine.due).loop().returns(None)

build_machine = _builder.build()
