"""Reads of the configuration service over HTTP."""

import json
from typing import Any, Protocol

from medlarquay import errors, events, ids, replica

__all__ = ('HttpFetcher', 'SourceFetcher', 'parse_answer')

_TIMEOUT_S = 4
_MAX_ANSWER_BYTES = 1 << 28
_STEP = 'read source'


class SourceFetcher(Protocol):
    """Reads one tree; tests read without sockets."""

    async def fetch(
        self,
        tree: replica.SourceTree,
        *,
        after: ids.Revision,
        wait_ms: int,
    ) -> bytes:
        """Return the answer of the source."""


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
            If the source refuses. Errors of the connection are passed on.
        """
        # Loaded on the first read: most nodes never read, and the client
        # costs several MB.
        import treq  # noqa: PLC0415

        response = await treq.get(
            f'{self._base_url}/v1/watch/{tree.value}',
            params={'after': str(after), 'wait_ms': str(wait_ms)},
            timeout=_TIMEOUT_S,
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
    """Return the answer of the source as an event.

    Raises
    ------
    SourceError
        If the answer is malformed.
    """
    try:
        revision, entries, whole = _parse(content)
    except Exception as cause:
        # A malformed answer fails in many ways, all answered alike.
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
    entries = tuple(_value_of(found) for found in answer['entries'])
    revision = ids.Revision(int(answer['revision']))
    return revision, entries, bool(answer.get('whole', False))


def _value_of(found: dict[str, Any]) -> replica.SourceValue:
    text = found['value']
    return replica.SourceValue(
        key=str(found['key']),
        revision=ids.Revision(int(found['revision'])),
        content=None if text is None else text.encode(),
    )
