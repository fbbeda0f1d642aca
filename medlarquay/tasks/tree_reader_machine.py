"""State machine of the reads of one tree of the source."""

from typing import Protocol

import automat

from medlarquay import states

__all__ = ('TreeReaderActions', 'TreeReaderMachine', 'build_machine')


class TreeReaderMachine(Protocol):
    """Inputs of the machine."""

    def choose(self, mode: states.ReadingMode) -> None:
        """Read from now on."""

    def stop(self) -> None:
        """Read no longer."""

    def due(self) -> None:
        """Send the next read."""

    def ended(self) -> None:
        """Note that a read was answered or failed."""


class TreeReaderActions(Protocol):
    """What the machine asks of its task."""

    def plan(self) -> None:
        """Schedule the next read."""

    def read(self) -> None:
        """Send a read."""


_builder = automat.TypeMachineBuilder(TreeReaderMachine, TreeReaderActions)
_stopped = _builder.state('stopped')
_waiting = _builder.state('waiting')
_reading = _builder.state('reading')
# A read in flight when the node stops reading; its answer is still used.
_finishing = _builder.state('finishing')


@_stopped.upon(TreeReaderMachine.choose).to(_waiting)
@_waiting.upon(TreeReaderMachine.choose).loop()
def _choose(
    machine: TreeReaderMachine,
    actions: TreeReaderActions,
    mode: states.ReadingMode,
) -> None:
    actions.plan()


@_waiting.upon(TreeReaderMachine.due).to(_reading)
def _send(machine: TreeReaderMachine, actions: TreeReaderActions) -> None:
    actions.read()


@_reading.upon(TreeReaderMachine.ended).to(_waiting)
def _plan_next(machine: TreeReaderMachine, actions: TreeReaderActions) -> None:
    actions.plan()


_reading.upon(TreeReaderMachine.choose).loop().returns(None)
_finishing.upon(TreeReaderMachine.choose).to(_reading).returns(None)
_waiting.upon(TreeReaderMachine.stop).to(_stopped).returns(None)
_reading.upon(TreeReaderMachine.stop).to(_finishing).returns(None)
_stopped.upon(TreeReaderMachine.stop).loop().returns(None)
_finishing.upon(TreeReaderMachine.stop).loop().returns(None)
_finishing.upon(TreeReaderMachine.ended).to(_stopped).returns(None)
_stopped.upon(TreeReaderMachine.due).loop().returns(None)
_reading.upon(TreeReaderMachine.due).loop().returns(None)
_finishing.upon(TreeReaderMachine.due).loop().returns(None)

build_machine = _builder.build()
