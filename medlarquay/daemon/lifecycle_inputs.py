"""Inputs of the lifecycle of a node."""

from typing import Protocol

__all__ = ('LifecycleInputs',)


class LifecycleInputs(Protocol):
    """Inputs of the lifecycle of a node."""

    def configure(self) -> None:
        """Take note that a configuration is in force."""

    def drain(self) -> None:
        """Stop accepting new work."""

    def flush(self) -> None:
        """Take note that no request is under way."""

    def finish(self) -> None:
        """Take note that no work is left or the drain deadline passed."""
