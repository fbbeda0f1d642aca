"""Reads of the source, the configuration service, over HTTP."""

import json
from typing import Any, Protocol

from medlarquay import errors, events, ids, replica

__all__ = ('HttpFetcher', 'SourceFetcher', 'parse_answer')

_READ_TIMEOUT_S = 4
_MAX_ANSWER_BYTES = 1 << 28
_STEP = 'read source'


class SourceFetcher(Protocol):
    """Reads trees of the source; tests provide one without sockets."""

    async def fetch(
        self,
        tree: replica.SourceTree,
        *,
        after: ids.Revision,
        wait_ms: int,
    ) -> bytes:
        """Return the answer of the source.

        Parameters
        ----------
        tree : replica.SourceTree
            Tree to read.
        after : ids.Revision
            Revision after which entries are requested.
        wait_ms : int
            How long the source may wait for a newer entry, in milliseconds.
        """


class HttpFetcher:
    """Reads the configuration service over HTTP.

    Parameters
    ----------
    base_url : str
        Address of the configuration service.
    """

    def __init__(self, *, base_url: str) -> None:
        self._base_url = base_url

    async def fetch(
        self,
        tree: replica.SourceTree,
        *,
        after: ids.Revision,
        wait_ms: int,
    ) -> bytes:
        """Return the answer of the source.

        Raises
        ------
        SourceError
            If the status of the answer is not 200. Errors of the connection
            are raised unchanged.
        """
        # Imported on the first read, because most nodes never read and the
        # HTTP client takes several MB of memory.
        import treq  # noqa: PLC0415

        response = await treq.get(
            f'{self._base_url}/v1/watch/{tree.value}',
            params={'after': str(after), 'wait_ms': str(wait_ms)},
            timeout=_READ_TIMEOUT_S,
        )
        if response.code != 200:
            raise errors.SourceError(
                f'source answered {response.code}',
                step=_STEP,
                peer=self._base_url,
            )
        return bytes(await treq.content(response))


def parse_answer(
    content: bytes,
    *,
    tree: replica.SourceTree,
    after: ids.Revision,
    asked_at: float,
) -> events.DocumentsRead:
    """Decode an answer of the source.

    Parameters
    ----------
    content : bytes
        Body of the answer, JSON.
    tree : replica.SourceTree
        Tree that was read.
    after : ids.Revision
        Revision after which entries were requested.
    asked_at : float
        When the read was sent, seconds on the monotonic clock.

    Raises
    ------
    SourceError
        If the answer is malformed.
    """
    try:
        revision, entries, whole = _parse(content)
    except Exception as cause:
        # Decoding a malformed answer can raise many kinds of errors, which are
        # all handled alike.
        raise errors.SourceError(
            f'malformed answer: {cause!r}',
            step=_STEP,
            peer=tree.value,
        ) from cause
    return events.DocumentsRead(
        tree=tree,
        after=after,
        revision=revision,
        entries=entries,
        whole=whole,
        asked_at=asked_at,
        wire_bytes=len(content),
    )


def _parse(
    content: bytes,
) -> tuple[ids.Revision, tuple[replica.SourceValue, ...], bool]:
    answer = json.loads(content)
    entries = tuple(_parse_entry(entry) for entry in answer['entries'])
    revision = ids.Revision(int(answer['revision']))
    return revision, entries, bool(answer.get('whole', False))


def _parse_entry(entry: dict[str, Any]) -> replica.SourceValue:
    text = entry['value']
    return replica.SourceValue(
        key=str(entry['key']),
        revision=ids.Revision(int(entry['revision'])),
        content=None if text is None else text.encode(),
    )
