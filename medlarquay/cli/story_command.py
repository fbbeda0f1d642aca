"""Arguments of ``medlarquay story``: log lines of one request."""

import dataclasses

__all__ = ('StoryCommand',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoryCommand:
    """Arguments of ``medlarquay story``: log lines of one request.

    Attributes
    ----------
    request : str
        Id of the request.
    paths : tuple of str
        Log files of nodes.
    """

    request: str
    paths: tuple[str, ...]
