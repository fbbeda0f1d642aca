"""State machine of the control link to one parent."""

from typing import Protocol

import automat

from medlarquay import messages
from medlarquay.tasks import control_link, followed

__all__ = ('FollowedActions', 'FollowedMachine', 'build_machine')


class FollowedMachine(Protocol):
    """Inputs of the machine."""

    def opened(self, link: control_link.ControlLink) -> None:
        """Take the open link."""

    def probe_due(self, now: float) -> None:
        """Send a probe."""

    def useful(self) -> None:
        """Note that the parent answered and is of use."""

    def ended(self) -> None:
        """Note that the link is lost or given up."""


class FollowedActions(Protocol):
    """What the machine asks of its task."""

    state: followed.Followed

    def send(self, message: object) -> None:
        """Send a message on the link."""

    def subscribe(self) -> None:
        """Introduce the node and ask for newer records."""

    def next_nonce(self) -> int:
        """Return a new nonce."""

    def promote(self) -> None:
        """Follow this parent instead of the previous one."""

    def finish(self) -> None:
        """Close the link and report the loss."""


_builder = automat.TypeMachineBuilder(FollowedMachine, FollowedActions)
_connecting = _builder.state('connecting')
_trying = _builder.state('trying')
_following = _builder.state('following')
_ended = _builder.state('ended')


@_connecting.upon(FollowedMachine.opened).to(_trying)
def _subscribe(
    machine: FollowedMachine,
    actions: FollowedActions,
    link: control_link.ControlLink,
) -> None:
    actions.state.link = link
    actions.subscribe()


@_trying.upon(FollowedMachine.probe_due).loop()
@_following.upon(FollowedMachine.probe_due).loop()
def _probe(
    machine: FollowedMachine,
    actions: FollowedActions,
    now: float,
) -> None:
    nonce = actions.next_nonce()
    actions.state.note_probe(nonce, now=now)
    actions.send(messages.Probe(nonce=nonce))


# The previous parent is followed until the new one has answered, so a change
# of parents does not interrupt the confirmations.
@_trying.upon(FollowedMachine.useful).to(_following)
def _promote(machine: FollowedMachine, actions: FollowedActions) -> None:
    actions.promote()


@_connecting.upon(FollowedMachine.ended).to(_ended)
@_trying.upon(FollowedMachine.ended).to(_ended)
@_following.upon(FollowedMachine.ended).to(_ended)
def _finish(machine: FollowedMachine, actions: FollowedActions) -> None:
    actions.finish()


_connecting.upon(FollowedMachine.probe_due).loop().returns(None)
_connecting.upon(FollowedMachine.useful).loop().returns(None)
_following.upon(FollowedMachine.useful).loop().returns(None)
_following.upon(FollowedMachine.opened).loop().returns(None)
_trying.upon(FollowedMachine.opened).loop().returns(None)
_ended.upon(FollowedMachine.opened).loop().returns(None)
_ended.upon(FollowedMachine.probe_due).loop().returns(None)
_ended.upon(FollowedMachine.useful).loop().returns(None)
_ended.upon(FollowedMachine.ended).loop().returns(None)

build_machine = _builder.build()
