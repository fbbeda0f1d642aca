"""Effects that the state machine of a node's lifecycle triggers."""

import abc

from medlarquay import states

__all__ = ('LifecycleEffects',)


class LifecycleEffects(abc.ABC):
    """Effects that the state machine of a node's lifecycle triggers."""

    @abc.abstractmethod
    def enter(self, state: states.NodeState) -> None:
        """Announce that a state was entered."""

    @abc.abstractmethod
    def start_drain(self) -> None:
        """Request the parts of the node to finish their work."""

    @abc.abstractmethod
    def stop(self) -> None:
        """End the process."""
