"""Order in which other nodes may send large bodies to this one."""

import dataclasses
import math

from medlarquay import ids, states
from medlarquay.pacing import offered_body, pace

__all__ = ('BodyIntake',)

# Granted bodies may fill the link for this long, which bounds the delay of small
# messages behind them. It exceeds a round trip between regions, so that the
# link does not idle between the bodies of two nodes.
_WINDOW_S = 0.15
# A body that is later than expected by this much does not hold up others: its
# sender may be busy or gone.
_STALL_S = 0.3
_RANK_ORDER = tuple(states.Rank)

_Key = tuple[ids.LinkId, ids.CallId]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Grant:
    length: int
    stalled_at: float


class BodyIntake:
    """Order in which other nodes may send large bodies to this one.

    Parameters
    ----------
    bytes_per_s : float
        Rate of the machine's network link; infinite if unknown, in which case
        each body is granted at once.

    Notes
    -----
    The senders do not know of each other. If each of them sent at its own rate,
    their bodies would queue before the link of this machine, and every call to
    it would wait behind them. Bodies are granted in order of rank and due time.
    """

    def __init__(self, *, bytes_per_s: float = math.inf) -> None:
        self._bytes_per_s = bytes_per_s * pace.PACED_SHARE
        self._waiting: dict[_Key, offered_body.OfferedBody] = {}
        self._granted: dict[_Key, _Grant] = {}

    def add(self, body: offered_body.OfferedBody, now: float) -> bool:
        """Add an offered body, unless it would arrive too late.

        Parameters
        ----------
        body : OfferedBody
            Body that is offered.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
            Whether the body was added.
        """
        ahead_bytes = self._bytes_under_way(now) + sum(
            other.length
            for other in self._waiting.values()
            if _order(other) <= _order(body)
        )
        if self._arrival(ahead_bytes + body.length, now) > body.arrive_by:
            return False
        self._waiting[body.key] = body
        return True

    def take_grants(self, now: float) -> list[offered_body.OfferedBody]:
        """Return the bodies that may be sent now, and count them as granted."""
        granted = []
        for body in sorted(self._waiting.values(), key=_order):
            under_way = self._bytes_under_way(now)
            window_bytes = self._bytes_per_s * _WINDOW_S
            if under_way and under_way + body.length > window_bytes:
                break
            self._waiting.pop(body.key)
            expected_at = self._arrival(under_way + body.length, now)
            self._granted[body.key] = _Grant(
                length=body.length,
                stalled_at=expected_at + _STALL_S,
            )
            granted.append(body)
        return granted

    def take_unreachable(self, now: float) -> list[offered_body.OfferedBody]:
        """Remove and return the waiting bodies that can only arrive too late.

        Bodies of higher ranks that were offered later may have passed them.
        """
        unreachable = [
            body
            for body in self._waiting.values()
            if self._arrival(body.length, now) > body.arrive_by
        ]
        for body in unreachable:
            self._waiting.pop(body.key)
        return unreachable

    def take_waiting(self) -> list[offered_body.OfferedBody]:
        """Remove and return all bodies that were not granted."""
        waiting = list(self._waiting.values())
        self._waiting.clear()
        return waiting

    def release(self, key: _Key) -> bool:
        """Forget a body that has arrived or will not be sent.

        Returns
        -------
        bool
            Whether it was offered.
        """
        waiting = self._waiting.pop(key, None)
        granted = self._granted.pop(key, None)
        return waiting is not None or granted is not None

    def release_link(self, link: ids.LinkId) -> None:
        """Forget all bodies of a link that is closed."""
        for key in (*self._waiting, *self._granted):
            if key[0] == link:
                self.release(key)

    def next_check(self, now: float) -> float:
        """Return when a grant or a refusal may be due without another event.

        Returns
        -------
        float
            Seconds on the monotonic clock; infinity if no body waits.
        """
        if not self._waiting:
            return math.inf
        refusals = (
            body.arrive_by - body.length / self._bytes_per_s
            for body in self._waiting.values()
        )
        stalls = (
            grant.stalled_at
            for grant in self._granted.values()
            if grant.stalled_at > now
        )
        return min((*refusals, *stalls))

    def _arrival(self, length: int, now: float) -> float:
        return now + length / self._bytes_per_s

    def _bytes_under_way(self, now: float) -> int:
        """Return the bytes of granted bodies that are expected to arrive."""
        return sum(
            grant.length
            for grant in self._granted.values()
            if grant.stalled_at > now
        )


def _order(body: offered_body.OfferedBody) -> tuple[int, float]:
    return _RANK_ORDER.index(body.rank), body.due
