"""A request of a caller that is under way."""

import dataclasses
import random
import time

from medlarquay.testing import load_mix, make_key, told_entry

__all__ = ('CallerAttempt', 'begin_attempt')

_IDEMPOTENT = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerAttempt:
    """A request of a caller that is under way.

    Attributes
    ----------
    mix : LoadMix
        Kind of request.
    number : int
        Number within its mix, which chooses the first node.
    entry : ToldEntry
        What the caller was told so far.
    started_at : float
        Reactor time of the first attempt.
    """

    mix: load_mix.LoadMix
    number: int
    entry: told_entry.ToldEntry
    started_at: float

    @property
    def address(self) -> str:
        """Node of the next attempt."""
        position = self.number + len(self.entry.outcomes)
        return self.mix.nodes[position % len(self.mix.nodes)]

    @property
    def may_resend(self) -> bool:
        """Whether a caller may send the request again on its own."""
        if len(self.entry.outcomes) > self.mix.resends:
            return False
        if self.entry.outcomes[-1] != 'unknown':
            return False
        return bool(self.entry.key) or self.entry.idempotent


def begin_attempt(
    mix: load_mix.LoadMix,
    *,
    number: int,
    seed: int,
    source: random.Random,
    now: float,
) -> CallerAttempt:
    """Return a new request of a mix.

    Parameters
    ----------
    mix : LoadMix
        Kind of request.
    number, seed : int
        Number within its mix and seed of the load, which name the request.
    source : random.Random
        Source of the random part of its key.
    now : float
        Reactor time.
    """
    sent_at = time.time()
    key = ''
    if mix.keyed:
        key = make_key.make_key(unix_time=sent_at, source=source)
    entry = told_entry.ToldEntry(
        request=f'{seed}-{mix.name}-{number}',
        mix=mix.name,
        key=key,
        idempotent=mix.method in _IDEMPOTENT,
        sent_at=sent_at,
    )
    return CallerAttempt(mix=mix, number=number, entry=entry, started_at=now)
