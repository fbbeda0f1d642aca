"""State machine of the reads of one tree of the source."""

from typing import Protocol

import automat

from medlarquay import states

__all__ = ('TreeReaderActions', 'TreeReaderMachine', 'build_machine')


class TreeReaderMachine(Protocol):
    """Inputs of the state machine."""

    def start(self, mode: states.ReadingMode) -> None:
        """Start to read, or reschedule the next read for a new mode."""

    def stop(self) -> None:
        """Stop reading."""

    def due(self) -> None:
        """Send the next read."""

    def ended(self) -> None:
        """Handle the end of a read, by an answer or a failure."""


class TreeReaderActions(Protocol):
    """Outputs of the state machine."""

    def schedule(self) -> None:
        """Schedule the next read."""

    def read(self) -> None:
        """Send a read."""


_builder = automat.TypeMachineBuilder(TreeReaderMachine, TreeReaderActions)
_stopped = _builder.state('stopped')
_waiting = _builder.state('waiting')
_reading = _builder.state('reading')
# The node stopped reading while a read is in flight; its answer is still used.
_finishing = _builder.state('finishing')


@_stopped.upon(TreeReaderMachine.start).to(_waiting)
@_waiting.upon(TreeReaderMachine.start).loop()
def _start(
    machine: TreeReaderMachine,
    actions: TreeReaderActions,
    mode: states.ReadingMode,
) -> None:
    actions.schedule()


@_waiting.upon(TreeReaderMachine.due).to(_reading)
def _send(machine: TreeReaderMachine, actions: TreeReaderActions) -> None:
    actions.read()


@_reading.upon(TreeReaderMachine.ended).to(_waiting)
def _schedule_next(
    machine: TreeReaderMachine, actions: TreeReaderActions
) -> None:
    actions.schedule()


_reading.upon(TreeReaderMachine.start).loop().returns(None)
_finishing.upon(TreeReaderMachine.start).to(_reading).returns(None)
_waiting.upon(TreeReaderMachine.stop).to(_stopped).returns(None)
_reading.upon(TreeReaderMachine.stop).to(_finishing).returns(None)
_stopped.upon(TreeReaderMachine.stop).loop().returns(None)
_finishing.upon(TreeReaderMachine.stop).loop().returns(None)
_finishing.upon(TreeReaderMachine.ended).to(_stopped).returns(None)
_stopped.upon(TreeReaderMachine.due).loop().returns(None)
_reading.upon(TreeReaderMachine.due).loop().returns(None)
_finishing.upon(TreeReaderMachine.due).loop().returns(None)

build_machine = _builder.build()
