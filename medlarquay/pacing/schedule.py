"""Scheduler of large frames on the machine's link."""

import itertools
import math

from medlarquay import ids, states
from medlarquay.pacing import (
    drop_frame,
    full_sockets,
    large_frame,
    pace,
    send_fragment,
    wait,
)

__all__ = ('Schedule', 'Step')

Step = send_fragment.SendFragment | drop_frame.DropFrame | wait.Wait

_RANK_ORDER = tuple(states.Rank)
_Key = tuple[ids.LinkId, ids.CallId]


class Schedule:
    """Scheduler of the large frames of all links of a node.

    Parameters
    ----------
    bytes_per_s : float
        Rate of the machine's link; infinite if unknown.

    Attributes
    ----------
    pace : Pace
        Rate limit of the machine's link.
    full_sockets : FullSockets
        Links that accept no fragment now.

    Notes
    -----
    Frames are sent in order of rank. Within a rank, a frame that was started
    is finished first, because frames that share the link all arrive late;
    then follow those that can still arrive when due, earliest due first.
    """

    def __init__(self, *, bytes_per_s: float) -> None:
        self.pace = pace.Pace(bytes_per_s=bytes_per_s)
        self.full_sockets = full_sockets.FullSockets()
        # A known rate already bounds the bytes that wait before the link, for
        # any number of full sockets; slow peers then don't delay others.
        self._limits_full_sockets = math.isinf(bytes_per_s)
        self._fragment_bytes = pace.fragment_bytes(bytes_per_s)
        self._frames: dict[_Key, large_frame.LargeFrame] = {}

    def __len__(self) -> int:
        """Return the number of waiting frames."""
        return len(self._frames)

    def add(self, frame: large_frame.LargeFrame) -> None:
        """Add a frame to the waiting ones."""
        self._frames[frame.link, frame.call_id] = frame

    def remove(
        self,
        link: ids.LinkId,
        call_id: ids.CallId,
    ) -> large_frame.LargeFrame | None:
        """Remove and return the frame of a call, or None if it was sent."""
        return self._frames.pop((link, call_id), None)

    def remove_link(self, link: ids.LinkId) -> None:
        """Remove all frames of a closed link."""
        self.full_sockets.discard(link)
        for key in tuple(self._frames):
            if key[0] == link:
                self._frames.pop(key)

    def take_fragment(self, frame: large_frame.LargeFrame, now: float) -> bytes:
        """Return the next fragment of a frame, and count it as sent."""
        end = frame.sent + self._fragment_bytes
        fragment = frame.content[frame.sent : end]
        frame.sent += len(fragment)
        self.pace.count(len(fragment), now)
        if not frame.remaining:
            self.remove(frame.link, frame.call_id)
        return fragment

    def free_at(self, now: float) -> dict[states.Rank, float]:
        """Return when the frames up to each rank will have left.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock, like the results.

        Notes
        -----
        Frames for stalled peers are not counted.
        """
        waiting = dict.fromkeys(states.Rank, 0)
        for frame in self._frames.values():
            if not self.full_sockets.is_stalled(frame.link, now):
                waiting[frame.urgency.rank] += frame.remaining
        cumulative = itertools.accumulate(waiting.values())
        return {
            rank: self.pace.free_at(length, now)
            for rank, length in zip(waiting, cumulative, strict=True)
        }

    def next_step(self, now: float) -> Step:
        """Return the next action.

        Frames that cannot arrive before their deadline are dropped first.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        for frame in self._frames.values():
            earliest_arrival = self.pace.earliest_arrival(frame.remaining, now)
            if earliest_arrival > frame.urgency.deadline:
                return drop_frame.DropFrame(frame=frame)
        ready_at = self.pace.ready_at()
        if self._limits_full_sockets:
            ready_at = max(ready_at, self.full_sockets.blocked_until(now))
        if ready_at > now:
            return self._wait(ready_at)
        return self._send_first(now)

    def _send_first(self, now: float) -> Step:
        first = min(
            (
                frame
                for frame in self._frames.values()
                if frame.link not in self.full_sockets
            ),
            key=lambda frame: self._sort_key(frame, now),
            default=None,
        )
        if first is None:
            return self._wait(math.inf)
        return send_fragment.SendFragment(frame=first)

    def _sort_key(
        self,
        frame: large_frame.LargeFrame,
        now: float,
    ) -> tuple[int, bool, bool, float, int]:
        late = (
            self.pace.earliest_arrival(frame.remaining, now) > frame.urgency.due
        )
        return (
            _RANK_ORDER.index(frame.urgency.rank),
            not frame.sent,
            late,
            frame.urgency.due,
            frame.stream,
        )

    def _wait(self, ready_at: float) -> wait.Wait:
        """Return a wait until a time, or until an earlier deadline."""
        if not self._frames:
            return wait.Wait(until=math.inf)
        deadlines = (frame.urgency.deadline for frame in self._frames.values())
        return wait.Wait(until=min(ready_at, *deadlines))
