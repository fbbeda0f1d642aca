"""Link of the machine of a replayed owner."""

import math

from medlarquay import ids, pacing
from medlarquay.testing.replay import departure, replay_request

__all__ = ('ReplayLink',)

# Call links to as many ingresses.
_LINKS = 16


class ReplayLink:
    """Carries answers on several call links at the pace of the product.

    Parameters
    ----------
    bytes_per_s : float
        What the pace leaves for answers; the link of the machine carries
        more by the share that it keeps free.
    """

    def __init__(self, *, bytes_per_s: float = math.inf) -> None:
        self._bytes_per_s = bytes_per_s / pacing.PACED_SHARE
        self._fragment_bytes = pacing.fragment_bytes(self._bytes_per_s)
        self.schedule = pacing.Schedule(bytes_per_s=self._bytes_per_s)
        # When what the sockets took has left.
        self._idle_at: float = 0

    def send(
        self,
        exchange: ids.ExchangeId,
        request: replay_request.ReplayRequest,
        now: float,
    ) -> departure.Departure | None:
        """Take an answer; return when it leaves if that is known."""
        if request.local:
            return departure.Departure(exchange=exchange, left_at=now)
        if request.answer_bytes <= self._fragment_bytes:
            self.schedule.pace.count(request.answer_bytes, now)
            left_at = self._write(request.answer_bytes, now)
            return departure.Departure(exchange=exchange, left_at=left_at)
        self.schedule.add(
            pacing.LargeFrame(
                link=_link_of(exchange),
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
        """Take an answer back unless it has left."""
        self.schedule.remove(_link_of(exchange), ids.CallId(exchange))

    def advance(
        self,
        now: float,
    ) -> tuple[list[departure.Departure], float]:
        """Send what the pace allows.

        Returns
        -------
        list of Departure
            Answers that have left or were dropped.
        float
            When to advance again, seconds from the start.
        """
        gone: list[departure.Departure] = []
        step = self.schedule.next_step(now)
        while not isinstance(step, pacing.Wait):
            frame = step.frame
            left_at = None
            if isinstance(step, pacing.SendFragment):
                part = self.schedule.take_fragment(frame, now)
                left_at = self._write(len(part), now)
            else:
                self.schedule.remove(frame.link, frame.call_id)
            if left_at is None or not frame.remaining:
                exchange = ids.ExchangeId(frame.call_id)
                gone.append(
                    departure.Departure(exchange=exchange, left_at=left_at),
                )
            step = self.schedule.next_step(now)
        return gone, step.until

    def _write(self, length: int, now: float) -> float:
        self._idle_at = max(self._idle_at, now) + length / self._bytes_per_s
        return self._idle_at


def _link_of(exchange: ids.ExchangeId) -> ids.LinkId:
    return ids.LinkId(1 + exchange % _LINKS)
