"""Control link to one parent."""

from typing import Protocol

from medlarquay.tasks import parent_link_machine, parent_link_state

__all__ = ('ParentLink', 'ParentLinkOwner')


class ParentLinkOwner(Protocol):
    """Task that owns the control links to parents."""

    def write(self, link: 'ParentLink', message: object) -> None:
        """Send a message on a link."""

    def subscribe(self, link: 'ParentLink') -> None:
        """Send the hello message and subscribe to newer records."""

    def next_nonce(self) -> int:
        """Return an unused nonce."""

    def running_clock(self) -> float:
        """Return seconds without the pauses of this process."""

    def promote(self, link: 'ParentLink') -> None:
        """Follow this parent instead of the previous one."""

    def finish(self, link: 'ParentLink') -> None:
        """Forget a link and report its loss."""


class ParentLink:
    """Control link to one parent, with its state and its state machine.

    Parameters
    ----------
    state : ParentLinkState
        State of the link.
    owner : ParentLinkOwner
        Task that owns the link.
    """

    def __init__(
        self,
        *,
        state: parent_link_state.ParentLinkState,
        owner: ParentLinkOwner,
    ) -> None:
        self.state = state
        self.machine: parent_link_machine.ParentLinkMachine = (
            parent_link_machine.build_machine(self)
        )
        self._owner = owner

    def send(self, message: object) -> None:
        """Send a message on the link."""
        self._owner.write(self, message)

    def subscribe(self) -> None:
        """Send the hello message and subscribe to newer records."""
        self._owner.subscribe(self)

    def next_nonce(self) -> int:
        """Return an unused nonce."""
        return self._owner.next_nonce()

    def record_probe(self, nonce: int, now: float) -> None:
        """Record when a probe was sent."""
        self.state.record_probe(
            nonce, now=now, running_now=self._owner.running_clock()
        )

    def promote(self) -> None:
        """Follow this parent instead of the previous one."""
        self._owner.promote(self)

    def finish(self) -> None:
        """Close the link and report its loss."""
        if self.state.link is not None:
            self.state.link.abort()
        self._owner.finish(self)
