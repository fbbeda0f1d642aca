"""One control link to a parent."""

from typing import Protocol

from medlarquay.tasks import followed, followed_machine

__all__ = ('Following', 'FollowingOwner')


class FollowingOwner(Protocol):
    """What a control link asks of its task."""

    def write(self, following: 'Following', message: object) -> None:
        """Send a message on the link."""

    def introduce(self, following: 'Following') -> None:
        """Introduce the node and ask for newer records."""

    def next_nonce(self) -> int:
        """Return a new nonce."""

    def promote(self, following: 'Following') -> None:
        """Follow this parent instead of the previous one."""

    def finish(self, following: 'Following') -> None:
        """Forget the link and report the loss."""


class Following:
    """One control link to a parent: its state and its state machine.

    Parameters
    ----------
    state : Followed
        State of the link.
    owner : FollowingOwner
        Task that owns the link.
    """

    def __init__(
        self,
        *,
        state: followed.Followed,
        owner: FollowingOwner,
    ) -> None:
        self.state = state
        self.machine: followed_machine.FollowedMachine = (
            followed_machine.build_machine(self)
        )
        self._owner = owner

    def send(self, message: object) -> None:
        """Send a message on the link."""
        self._owner.write(self, message)

    def subscribe(self) -> None:
        """Introduce the node and ask for newer records."""
        self._owner.introduce(self)

    def next_nonce(self) -> int:
        """Return a new nonce."""
        return self._owner.next_nonce()

    def promote(self) -> None:
        """Follow this parent instead of the previous one."""
        self._owner.promote(self)

    def finish(self) -> None:
        """Close the link and report the loss."""
        if self.state.link is not None:
            self.state.link.abort()
        self._owner.finish(self)
