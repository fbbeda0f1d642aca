"""Writer of messages on the call links of a node."""

import functools
from collections.abc import Callable

from medlarquay import codec, events, ids, messages, pacing, states, transport
from medlarquay.tasks import paced_frame, task

__all__ = ('LinkWriter',)

_CallMessage = (
    messages.CallRequest
    | messages.CallAnswered
    | messages.CallRefused
    | messages.CallUnknown
)
_OnSent = Callable[[transport.SendReport], None]
_CallKey = tuple[ids.LinkId, ids.CallId]


class LinkWriter:
    """Writes small frames at once and posts large ones to the uplink.

    Parameters
    ----------
    clock : callable
        Returns seconds on the monotonic clock.
    link_bytes_per_s : float
        Rate of the machine's network link; infinite if unknown. A frame is
        large if it exceeds the fragment size for this rate.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        link_bytes_per_s: float,
    ) -> None:
        self.uplink: task.Task | None = None
        self._clock = clock
        self._fragment_bytes = pacing.fragment_bytes(link_bytes_per_s)
        self._links: dict[ids.LinkId, transport.Link] = {}
        self._paced_frames: dict[_CallKey, paced_frame.PacedFrame] = {}
        # Links whose socket has not accepted the whole last fragment yet.
        self._full_sockets: set[ids.LinkId] = set()
        self._link_in_write: ids.LinkId | None = None
        self._last_number = 0

    def add(self, link: transport.Link) -> ids.LinkId:
        """Register a link and return its number."""
        self._last_number += 1
        number = ids.LinkId(self._last_number)
        self._links[number] = link
        return number

    def remove(self, number: ids.LinkId) -> None:
        """Remove a closed link, and report its waiting frames as lost."""
        self._links.pop(number, None)
        for key in tuple(self._paced_frames):
            if key[0] == number:
                self._paced_frames.pop(key).report_lost()
        self._post_to_uplink(events.LinkClosed(link=number))

    def has_waiting_frames(self, number: ids.LinkId) -> bool:
        """Return whether large frames wait for a link."""
        return any(link == number for link, _ in self._paced_frames)

    def send(self, number: ids.LinkId, message: object) -> None:
        """Send a message that belongs to no call."""
        link = self._links.get(number)
        if link is not None:
            self._send_now(link, codec.encode(message, now=self._clock()), None)

    def send_call(
        self,
        number: ids.LinkId,
        message: _CallMessage,
        *,
        urgency: pacing.Urgency = pacing.NO_DEADLINE,
        on_sent: _OnSent | None = None,
    ) -> bool:
        """Send a message of a call.

        Parameters
        ----------
        number : LinkId
            Link of the call.
        message : CallRequest, CallAnswered, CallRefused or CallUnknown
            Message to send.
        urgency : Urgency
            Rank, due time and deadline, by which a large frame is scheduled.
        on_sent : callable, optional
            Receives ``SendReport`` once, when the kernel has accepted the last
            byte or the frame was lost before; possibly during this call.

        Returns
        -------
        bool
            Whether the frame waits for the machine's link.
        """
        link = self._links.get(number)
        frame = codec.encode(message, now=self._clock())
        if link is None:
            # The link closed while the call was in progress.
            if on_sent is not None:
                on_sent(transport.lost_send_report(len(frame)))
            return False
        if self.uplink is None or len(frame) <= self._fragment_bytes:
            self._send_now(link, frame, on_sent)
            return False
        ahead_bytes = sum(
            frame_ahead.frame_bytes
            for frame_ahead in self._paced_frames.values()
        )
        self._paced_frames[number, message.call_id] = paced_frame.PacedFrame(
            frame_bytes=len(frame),
            ahead_bytes=ahead_bytes,
            on_sent=on_sent,
        )
        self.uplink.post(
            events.QueueFrame(
                link=number,
                call_id=message.call_id,
                frame=frame,
                urgency=urgency,
            ),
        )
        return True

    def withdraw(self, number: ids.LinkId, call_id: ids.CallId) -> bool:
        """Withdraw the frame of a call; return whether it was still unsent."""
        paced = self._paced_frames.pop((number, call_id), None)
        if paced is None:
            return False
        paced.report_lost()
        self._post_to_uplink(events.WithdrawFrame(link=number, call_id=call_id))
        return True

    def drop(self, message: events.FrameDropped) -> None:
        """Report a frame that the uplink dropped as lost."""
        paced = self._paced_frames.pop((message.link, message.call_id), None)
        if paced is not None:
            paced.report_lost()

    def write(self, fragment: events.WriteFragment) -> None:
        """Write a fragment and confirm it to the uplink.

        The confirmation states whether the socket is full.
        """
        self._link_in_write = fragment.link
        try:
            self._write(fragment)
        finally:
            self._link_in_write = None
            self._post_to_uplink(
                events.FragmentWritten(
                    link=fragment.link,
                    socket_full=fragment.link in self._full_sockets,
                ),
            )

    def _write(self, fragment: events.WriteFragment) -> None:
        link = self._links.get(fragment.link)
        if link is None:
            return
        key = (fragment.link, fragment.call_id)
        kind = fragment.kind
        if key not in self._paced_frames:
            # The frame was withdrawn after the uplink posted this fragment.
            kind = states.FragmentKind.ABORT
        paced = None
        if kind is states.FragmentKind.LAST:
            paced = self._paced_frames.pop(key)
        self._full_sockets.add(fragment.link)
        wire_fragment = transport.Fragment(
            stream=fragment.stream,
            kind=kind,
            content=fragment.content,
        )
        link.send(
            wire_fragment.encode(),
            on_sent=functools.partial(
                self._fragment_sent, fragment.link, paced
            ),
        )

    def _fragment_sent(
        self,
        number: ids.LinkId,
        paced: paced_frame.PacedFrame | None,
        report: transport.SendReport,
    ) -> None:
        self._full_sockets.discard(number)
        if paced is not None:
            paced.report_last_fragment(report)
        if number != self._link_in_write:
            self._post_to_uplink(events.SocketDrained(link=number))

    def _send_now(
        self,
        link: transport.Link,
        frame: bytes,
        on_sent: _OnSent | None,
    ) -> None:
        link.send(frame, on_sent=on_sent)
        self._post_to_uplink(events.BytesSent(length=len(frame)))

    def _post_to_uplink(self, message: object) -> None:
        if self.uplink is not None:
            self.uplink.post(message)
