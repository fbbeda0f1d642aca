"""Inputs of the state machine of a node's lifecycle."""

from typing import Protocol

__all__ = ('LifecycleInputs',)


class LifecycleInputs(Protocol):
    """Inputs of the state machine of a node's lifecycle."""

    def configure(self) -> None:
        """A configuration is in force."""

    def unconfigure(self) -> None:
        """No configuration is in force any more."""

    def drain(self) -> None:
        """A graceful stop is requested."""

    def flush(self) -> None:
        """No request is in flight any more."""

    def finish(self) -> None:
        """No work is left, or the drain deadline has passed."""
