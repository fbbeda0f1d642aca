"""Peers that may not be followed for a bounded time after a fault."""

import dataclasses
import random

from medlarquay.topology import backoff

__all__ = ('Suspects',)

_FIRST_SUSPICION_S = 4
_LONGEST_SUSPICION_S = 60
# Faults of a peer farther apart than this are unrelated: the backoff restarts.
_FORGET_AFTER_S = 180


@dataclasses.dataclass(slots=True, kw_only=True)
class _Suspicion:
    deadline: float
    marked_at: float
    delay_backoff: backoff.Backoff


class Suspects:
    """Peers that may not be followed for a bounded time after a fault.

    Parameters
    ----------
    randomness : random.Random
        Jitters the deadlines, so that the children of one parent do not
        return to it at the same moment.
    first_s, longest_s : float
        Time after the first fault, and longest time, in seconds.

    Notes
    -----
    The time doubles with each fault up to a bound, so that
    a peer is tried again after a partition has healed.
    """

    def __init__(
        self,
        *,
        randomness: random.Random,
        first_s: float = _FIRST_SUSPICION_S,
        longest_s: float = _LONGEST_SUSPICION_S,
    ) -> None:
        self._randomness = randomness
        self._first_s = first_s
        self._longest_s = longest_s
        self._suspicions: dict[str, _Suspicion] = {}

    def mark(self, address: str, *, now: float) -> float:
        """Suspect a peer after a fault; return when the suspicion ends."""
        previous = self._suspicions.get(address)
        if previous is None or now - previous.marked_at > _FORGET_AFTER_S:
            delay_backoff = backoff.Backoff(
                first=self._first_s,
                longest=self._longest_s,
                randomness=self._randomness,
            )
        else:
            delay_backoff = previous.delay_backoff
        deadline = now + delay_backoff.next_delay()
        self._suspicions[address] = _Suspicion(
            deadline=deadline,
            marked_at=now,
            delay_backoff=delay_backoff,
        )
        return deadline

    def current(self, *, now: float) -> frozenset[str]:
        """Return the addresses of the peers suspected now."""
        self._suspicions = {
            address: suspicion
            for address, suspicion in self._suspicions.items()
            if now - suspicion.marked_at <= _FORGET_AFTER_S
        }
        return frozenset(
            address
            for address, suspicion in self._suspicions.items()
            if suspicion.deadline > now
        )

    def next_deadline(self, *, now: float) -> float | None:
        """Return when the next suspicion ends; None if nobody is suspected."""
        return min(
            (
                suspicion.deadline
                for suspicion in self._suspicions.values()
                if suspicion.deadline > now
            ),
            default=None,
        )
