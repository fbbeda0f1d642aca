"""Request of a caller that is in flight."""

import dataclasses
import random
import time

from medlarquay.testing import load_mix, make_key, told_entry

__all__ = ('CallerRequest', 'new_request')

_IDEMPOTENT = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerRequest:
    """Request of a caller that is in flight, over all its attempts.

    Attributes
    ----------
    mix : LoadMix
        Kind of request.
    number : int
        Number within its mix, which selects the node of the first attempt.
    entry : ToldEntry
        Record of the outcomes so far.
    started_at : float
        Reactor time in seconds of the first attempt.
    """

    mix: load_mix.LoadMix
    number: int
    entry: told_entry.ToldEntry
    started_at: float

    @property
    def address(self) -> str:
        """``host:port`` of the node of the next attempt."""
        position = self.number + len(self.entry.outcomes)
        return self.mix.nodes[position % len(self.mix.nodes)]

    @property
    def may_resend(self) -> bool:
        """Whether the caller may resend the request.

        It may when attempts are left, the last outcome is unknown, and the
        request has an idempotency key or an idempotent method.
        """
        if len(self.entry.outcomes) > self.mix.resends:
            return False
        if self.entry.outcomes[-1] != 'unknown':
            return False
        return bool(self.entry.key) or self.entry.idempotent


def new_request(
    mix: load_mix.LoadMix,
    *,
    number: int,
    seed: int,
    randomness: random.Random,
    now: float,
) -> CallerRequest:
    """Return a new request of a mix, with its key and record.

    Parameters
    ----------
    mix : LoadMix
        Kind of request.
    number, seed : int
        Number within its mix and seed of the load; both are part of the
        request id.
    randomness : random.Random
        Generator of the random part of its idempotency key.
    now : float
        Reactor time in seconds.
    """
    sent_at = time.time()
    key = ''
    if mix.keyed:
        key = make_key.make_key(unix_time=sent_at, randomness=randomness)
    entry = told_entry.ToldEntry(
        request=f'{seed}-{mix.name}-{number}',
        mix=mix.name,
        key=key,
        idempotent=mix.method in _IDEMPOTENT,
        sent_at=sent_at,
    )
    return CallerRequest(mix=mix, number=number, entry=entry, started_at=now)
