"""Peers that are not followed for a bounded time."""

import dataclasses
import random

from medlarquay.topology import backoff

__all__ = ('Suspects',)

_FIRST_S = 4
_LONGEST_S = 60
# Faults farther apart than this are unrelated.
_FORGET_S = 180


@dataclasses.dataclass(slots=True, kw_only=True)
class _Suspicion:
    deadline: float
    marked_at: float
    delays: backoff.Backoff


class Suspects:
    """Peers that are not followed for a bounded time.

    Parameters
    ----------
    randomness : random.Random
        Spreads the deadlines, so that the children of one parent do not
        return to it at the same moment.

    Notes
    -----
    The time doubles with each fault up to a minute. It is bounded, so every
    partition that heals is noticed.
    """

    def __init__(self, *, randomness: random.Random) -> None:
        self._randomness = randomness
        self._suspicions: dict[str, _Suspicion] = {}

    def mark(self, address: str, *, now: float) -> float:
        """Suspect a peer; return until when."""
        held = self._suspicions.get(address)
        if held is None or now - held.marked_at > _FORGET_S:
            delays = backoff.Backoff(
                first=_FIRST_S,
                longest=_LONGEST_S,
                randomness=self._randomness,
            )
        else:
            delays = held.delays
        deadline = now + delays.next_delay()
        self._suspicions[address] = _Suspicion(
            deadline=deadline,
            marked_at=now,
            delays=delays,
        )
        return deadline

    def current(self, *, now: float) -> frozenset[str]:
        """Return the addresses suspected now."""
        self._suspicions = {
            address: found
            for address, found in self._suspicions.items()
            if now - found.marked_at <= _FORGET_S
        }
        return frozenset(
            address
            for address, found in self._suspicions.items()
            if found.deadline > now
        )

    def next_deadline(self, *, now: float) -> float | None:
        """Return when the next suspicion ends."""
        return min(
            (
                found.deadline
                for found in self._suspicions.values()
                if found.deadline > now
            ),
            default=None,
        )
