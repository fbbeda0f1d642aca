"""Writing of messages on the call links of a node."""

import functools
from collections.abc import Callable

from medlarquay import codec, events, ids, messages, pacing, states, transport
from medlarquay.tasks import paced_frame, task

__all__ = ('LinkWriter',)

_Call = (
    messages.CallRequest
    | messages.CallAnswered
    | messages.CallRefused
    | messages.CallUnknown
)
_Left = Callable[[transport.SendReport], None]
_Key = tuple[ids.LinkId, ids.CallId]


class LinkWriter:
    """Writes small frames at once and gives large ones to the uplink.

    Parameters
    ----------
    clock : callable
        Returns seconds on the monotonic clock.
    link_bytes_per_s : float
        What the link of the machine carries; infinite if unknown. Frames
        that are larger than one fragment at this rate are large.
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
        self._paced: dict[_Key, paced_frame.PacedFrame] = {}
        # Links whose socket did not take the last fragment yet.
        self._full: set[ids.LinkId] = set()
        self._writing: ids.LinkId | None = None
        self._last = 0

    def add(self, link: transport.Link) -> ids.LinkId:
        """Give a link a number."""
        self._last += 1
        number = ids.LinkId(self._last)
        self._links[number] = link
        return number

    def forget(self, number: ids.LinkId) -> None:
        """Forget a closed link with the frames that wait for it."""
        self._links.pop(number, None)
        for key in tuple(self._paced):
            if key[0] == number:
                self._paced.pop(key).lose()
        self._tell_uplink(events.LinkClosed(link=number))

    def waits(self, number: ids.LinkId) -> bool:
        """Tell whether large frames wait for a link."""
        return any(link == number for link, _ in self._paced)

    def send(self, number: ids.LinkId, message: object) -> None:
        """Send a message that belongs to no call."""
        link = self._links.get(number)
        if link is not None:
            self._send_now(link, codec.encode(message, now=self._clock()), None)

    def send_call(
        self,
        number: ids.LinkId,
        message: _Call,
        *,
        urgency: pacing.Urgency = pacing.NO_DEADLINE,
        left: _Left | None = None,
    ) -> bool:
        """Send a message of a call.

        Parameters
        ----------
        number : LinkId
            Link of the call.
        message : CallRequest, CallAnswered, CallRefused or CallUnknown
            Message.
        urgency : Urgency
            Decides when it is sent if it is large.
        left : callable, optional
            Receives ``SendReport`` once the kernel has taken the last byte,
            possibly within this call, or the frame was lost before.

        Returns
        -------
        bool
            Whether it waits for the link of the machine.
        """
        link = self._links.get(number)
        frame = codec.encode(message, now=self._clock())
        if link is None:
            # The link closed while the call was under way.
            if left is not None:
                left(transport.lost_send_report(len(frame)))
            return False
        if self.uplink is None or len(frame) <= self._fragment_bytes:
            self._send_now(link, frame, left)
            return False
        ahead = sum(entry.frame_bytes for entry in self._paced.values())
        self._paced[number, message.call_id] = paced_frame.PacedFrame(
            frame_bytes=len(frame),
            ahead_bytes=ahead,
            report=left,
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
        """Take back the frame of a call; tell whether it had not left."""
        paced = self._paced.pop((number, call_id), None)
        if paced is None:
            return False
        paced.lose()
        self._tell_uplink(events.WithdrawFrame(link=number, call_id=call_id))
        return True

    def drop(self, message: events.FrameDropped) -> None:
        """Forget a frame that the uplink dropped."""
        paced = self._paced.pop((message.link, message.call_id), None)
        if paced is not None:
            paced.lose()

    def write(self, part: events.WriteFragment) -> None:
        """Write a fragment and tell the uplink how the socket took it."""
        self._writing = part.link
        try:
            self._write(part)
        finally:
            self._writing = None
            self._tell_uplink(
                events.FragmentWritten(
                    link=part.link,
                    socket_full=part.link in self._full,
                ),
            )

    def _write(self, part: events.WriteFragment) -> None:
        link = self._links.get(part.link)
        if link is None:
            return
        key = (part.link, part.call_id)
        kind = part.kind
        if key not in self._paced:
            # It was withdrawn when the uplink had given up this part.
            kind = states.FragmentKind.ABORT
        paced = None
        if kind is states.FragmentKind.LAST:
            paced = self._paced.pop(key)
        self._full.add(part.link)
        written = transport.Fragment(
            stream=part.stream,
            kind=kind,
            content=part.content,
        )
        link.send(
            written.encode(),
            on_sent=functools.partial(self._fragment_left, part.link, paced),
        )

    def _fragment_left(
        self,
        number: ids.LinkId,
        paced: paced_frame.PacedFrame | None,
        left: transport.SendReport,
    ) -> None:
        self._full.discard(number)
        if paced is not None:
            paced.finish(left)
        if number != self._writing:
            self._tell_uplink(events.SocketDrained(link=number))

    def _send_now(
        self,
        link: transport.Link,
        frame: bytes,
        left: _Left | None,
    ) -> None:
        link.send(frame, on_sent=left)
        self._tell_uplink(events.BytesSent(length=len(frame)))

    def _tell_uplink(self, message: object) -> None:
        if self.uplink is not None:
            self.uplink.post(message)
