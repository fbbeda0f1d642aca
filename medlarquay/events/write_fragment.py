"""Write a fragment of a large frame on a call link."""

import dataclasses

from medlarquay import ids, states

__all__ = ('WriteFragment',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteFragment:
    """Write a fragment of a large frame on a call link.

    Attributes
    ----------
    link : ids.LinkId
        Link to write on.
    call_id : ids.CallId
        Call of the frame.
    stream : ids.StreamId
        Stream of the frame.
    kind : states.FragmentKind
        Whether the frame continues, ends or is dropped.
    content : bytes
        Bytes of the fragment.
    """

    link: ids.LinkId
    call_id: ids.CallId
    stream: ids.StreamId
    kind: states.FragmentKind
    content: bytes
