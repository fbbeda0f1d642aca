"""Simulated uplink of a replayed owner."""

import math

from medlarquay import ids, pacing
from medlarquay.testing.replay import departure, replay_request

__all__ = ('ReplayLink',)

# Number of call links, each to one ingress.
_LINKS = 16


class ReplayLink:
    """Sends answers on several call links with the pacing of the product.

    Parameters
    ----------
    bytes_per_s : float
        Bandwidth that the pacing leaves for answers. The link itself has
        more, by the share that the pacing keeps free.
    """

    def __init__(self, *, bytes_per_s: float = math.inf) -> None:
        self._bytes_per_s = bytes_per_s / pacing.PACED_SHARE
        self._fragment_bytes = pacing.fragment_bytes(self._bytes_per_s)
        self.schedule = pacing.Schedule(bytes_per_s=self._bytes_per_s)
        # When all bytes written to the sockets will have been sent.
        self._idle_at: float = 0

    def send(
        self,
        exchange: ids.ExchangeId,
        request: replay_request.ReplayRequest,
        now: float,
    ) -> departure.Departure | None:
        """Queue or write an answer.

        Returns
        -------
        Departure or None
            When the answer is sent; None if it is queued as fragments.
        """
        if request.local:
            return departure.Departure(exchange=exchange, left_at=now)
        if request.answer_bytes <= self._fragment_bytes:
            self.schedule.pace.count(request.answer_bytes, now)
            left_at = self._write(request.answer_bytes, now)
            return departure.Departure(exchange=exchange, left_at=left_at)
        self.schedule.add(
            pacing.LargeFrame(
                link=_link_id(exchange),
                call_id=ids.CallId(exchange),
                stream=ids.StreamId(exchange),
                content=bytes(request.answer_bytes),
                urgency=pacing.Urgency(
                    rank=request.rank,
                    due=request.due,
                    deadline=request.deadline,
                ),
            ),
        )
        return None

    def withdraw(self, exchange: ids.ExchangeId) -> None:
        """Remove a queued answer unless it has been sent."""
        self.schedule.remove(_link_id(exchange), ids.CallId(exchange))

    def advance(
        self,
        now: float,
    ) -> tuple[list[departure.Departure], float]:
        """Send the fragments that the pacing allows.

        Returns
        -------
        list of Departure
            Answers that were sent completely or dropped.
        float
            When to advance again, in seconds from the start.
        """
        departures: list[departure.Departure] = []
        step = self.schedule.next_step(now)
        while not isinstance(step, pacing.Wait):
            frame = step.frame
            left_at = None
            if isinstance(step, pacing.SendFragment):
                fragment = self.schedule.take_fragment(frame, now)
                left_at = self._write(len(fragment), now)
            else:
                self.schedule.remove(frame.link, frame.call_id)
            if left_at is None or not frame.remaining:
                exchange = ids.ExchangeId(frame.call_id)
                departures.append(
                    departure.Departure(exchange=exchange, left_at=left_at),
                )
            step = self.schedule.next_step(now)
        return departures, step.until

    def _write(self, length: int, now: float) -> float:
        self._idle_at = max(self._idle_at, now) + length / self._bytes_per_s
        return self._idle_at


def _link_id(exchange: ids.ExchangeId) -> ids.LinkId:
    return ids.LinkId(1 + exchange % _LINKS)
