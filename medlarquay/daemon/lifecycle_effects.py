"""Effects of the lifecycle of a node."""

import abc

from medlarquay import states

__all__ = ('LifecycleEffects',)


class LifecycleEffects(abc.ABC):
    """Effects of the lifecycle of a node."""

    @abc.abstractmethod
    def enter(self, state: states.NodeState) -> None:
        """Announce the state entered."""

    @abc.abstractmethod
    def start_drain(self) -> None:
        """Ask the parts of the node to finish their work."""

    @abc.abstractmethod
    def stop(self) -> None:
        """End the process."""
