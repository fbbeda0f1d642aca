"""State machine of the control link to one parent."""

from typing import Protocol

import automat

from medlarquay import messages
from medlarquay.tasks import control_link, parent_link_state

__all__ = ('ParentLinkActions', 'ParentLinkMachine', 'build_machine')


class ParentLinkMachine(Protocol):
    """Inputs of the state machine."""

    def opened(self, link: control_link.ControlLink) -> None:
        """Use the link, whose handshake has completed."""

    def probe_due(self, now: float) -> None:
        """Send a probe."""

    def usable(self) -> None:
        """Handle a heartbeat that shows that the parent is usable."""

    def ended(self) -> None:
        """Handle the loss of the link, or the decision to give it up."""


class ParentLinkActions(Protocol):
    """Outputs of the state machine."""

    state: parent_link_state.ParentLinkState

    def record_probe(self, nonce: int, now: float) -> None:
        """Record when a probe was sent."""

    def send(self, message: object) -> None:
        """Send a message on the link."""

    def subscribe(self) -> None:
        """Send the hello message and subscribe to newer records."""

    def next_nonce(self) -> int:
        """Return an unused nonce."""

    def promote(self) -> None:
        """Follow this parent instead of the previous one."""

    def finish(self) -> None:
        """Close the link and report its loss."""


_builder = automat.TypeMachineBuilder(ParentLinkMachine, ParentLinkActions)
_connecting = _builder.state('connecting')
_trying = _builder.state('trying')
_following = _builder.state('following')
_ended = _builder.state('ended')


@_connecting.upon(ParentLinkMachine.opened).to(_trying)
def _subscribe(
    machine: ParentLinkMachine,
    actions: ParentLinkActions,
    link: control_link.ControlLink,
) -> None:
    actions.state.link = link
    actions.subscribe()


@_trying.upon(ParentLinkMachine.probe_due).loop()
@_following.upon(ParentLinkMachine.probe_due).loop()
def _probe(
    machine: ParentLinkMachine,
    actions: ParentLinkActions,
    now: float,
) -> None:
    nonce = actions.next_nonce()
    actions.record_probe(nonce, now)
    actions.send(messages.Probe(nonce=nonce))


# The previous parent is followed until the new one has answered, so a change
# of parents does not interrupt the confirmations by the source.
@_trying.upon(ParentLinkMachine.usable).to(_following)
def _promote(machine: ParentLinkMachine, actions: ParentLinkActions) -> None:
    actions.promote()


@_connecting.upon(ParentLinkMachine.ended).to(_ended)
@_trying.upon(ParentLinkMachine.ended).to(_ended)
@_following.upon(ParentLinkMachine.ended).to(_ended)
def _finish(machine: ParentLinkMachine, actions: ParentLinkActions) -> None:
    actions.finish()


_connecting.upon(ParentLinkMachine.probe_due).loop().returns(None)
_connecting.upon(ParentLinkMachine.usable).loop().returns(None)
_following.upon(ParentLinkMachine.usable).loop().returns(None)
_following.upon(ParentLinkMachine.opened).loop().returns(None)
_trying.upon(ParentLinkMachine.opened).loop().returns(None)
_ended.upon(ParentLinkMachine.opened).loop().returns(None)
_ended.upon(ParentLinkMachine.probe_due).loop().returns(None)
_ended.upon(ParentLinkMachine.usable).loop().returns(None)
_ended.upon(ParentLinkMachine.ended).loop().returns(None)

build_machine = _builder.build()
