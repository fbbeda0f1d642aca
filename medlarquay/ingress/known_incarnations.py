"""Incarnation of each owner that this ingress has a link to."""

from medlarquay import ids, messages
from medlarquay.ingress import key_wait

__all__ = ('KnownIncarnations',)


class KnownIncarnations:
    """Incarnations of owners and the callers that wait to learn one.

    Parameters
    ----------
    hello : Hello
        Instance and incarnation of this node.
    """

    def __init__(self, *, hello: messages.Hello) -> None:
        self._own = hello.instance
        self._incarnations = {hello.instance: hello.incarnation}
        self._waits: tuple[key_wait.KeyWait, ...] = ()

    def __len__(self) -> int:
        """Return how many callers wait."""
        return len(self._waits)

    def incarnation_of(
        self, instance: ids.InstanceId
    ) -> ids.Incarnation | None:
        """Return the incarnation of an owner, if known."""
        return self._incarnations.get(instance)

    def learn(
        self,
        instance: ids.InstanceId,
        incarnation: ids.Incarnation,
    ) -> None:
        """Keep the incarnation that greeted on a new link."""
        if instance != self._own:
            self._incarnations[instance] = incarnation

    def forget(self, instance: ids.InstanceId) -> None:
        """Forget the incarnation of an owner whose link was lost."""
        if instance != self._own:
            self._incarnations.pop(instance, None)

    def wait(self, wait: key_wait.KeyWait) -> None:
        """Let a caller wait for the incarnation of an owner."""
        self._waits = (*self._waits, wait)

    def withdraw(self, caller: ids.CallerId) -> None:
        """Forget a caller that closed its connection."""
        self._waits = tuple(
            wait for wait in self._waits if wait.message.caller != caller
        )

    def take(self, instance: ids.InstanceId) -> tuple[key_wait.KeyWait, ...]:
        """Return the callers that wait for an owner; they wait no more."""
        found = tuple(wait for wait in self._waits if wait.instance == instance)
        self._keep_except(found)
        return found

    def take_expired(self, now: float) -> tuple[key_wait.KeyWait, ...]:
        """Return the callers past their deadline; they wait no more."""
        found = tuple(wait for wait in self._waits if wait.deadline <= now)
        self._keep_except(found)
        return found

    def _keep_except(self, found: tuple[key_wait.KeyWait, ...]) -> None:
        if found:
            self._waits = tuple(
                wait for wait in self._waits if wait not in found
            )
