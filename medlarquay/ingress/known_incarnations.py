"""Incarnations of the owners that this ingress has a link to."""

from medlarquay import ids, messages
from medlarquay.ingress import key_wait

__all__ = ('KnownIncarnations',)


class KnownIncarnations:
    """Incarnations of owners, and the callers that wait for one.

    Parameters
    ----------
    hello : Hello
        Instance and incarnation of this node.
    """

    def __init__(self, *, hello: messages.Hello) -> None:
        self._own_instance = hello.instance
        self._incarnations = {hello.instance: hello.incarnation}
        self._waits: tuple[key_wait.KeyWait, ...] = ()

    def __len__(self) -> int:
        """Return the number of callers that wait."""
        return len(self._waits)

    def incarnation_of(
        self, instance: ids.InstanceId
    ) -> ids.Incarnation | None:
        """Return the incarnation of an owner; None if not known."""
        return self._incarnations.get(instance)

    def learn(
        self,
        instance: ids.InstanceId,
        incarnation: ids.Incarnation,
    ) -> None:
        """Store the incarnation that an owner sent on a new link."""
        if instance != self._own_instance:
            self._incarnations[instance] = incarnation

    def forget(self, instance: ids.InstanceId) -> None:
        """Remove the incarnation of an owner whose link was lost."""
        if instance != self._own_instance:
            self._incarnations.pop(instance, None)

    def wait(self, wait: key_wait.KeyWait) -> None:
        """Add a caller that waits for the incarnation of an owner."""
        self._waits = (*self._waits, wait)

    def remove_caller(self, caller: ids.CallerId) -> None:
        """Remove a caller that closed its connection."""
        self._waits = tuple(
            wait for wait in self._waits if wait.message.caller != caller
        )

    def take(self, instance: ids.InstanceId) -> tuple[key_wait.KeyWait, ...]:
        """Remove and return the callers that wait for an owner."""
        waits = tuple(wait for wait in self._waits if wait.instance == instance)
        self._remove(waits)
        return waits

    def take_expired(self, now: float) -> tuple[key_wait.KeyWait, ...]:
        """Remove and return the callers whose deadline has passed."""
        waits = tuple(wait for wait in self._waits if wait.deadline <= now)
        self._remove(waits)
        return waits

    def _remove(self, waits: tuple[key_wait.KeyWait, ...]) -> None:
        if waits:
            self._waits = tuple(
                wait for wait in self._waits if wait not in waits
            )
