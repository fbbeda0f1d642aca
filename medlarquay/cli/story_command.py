"""Tell from log files what became of a request."""

import dataclasses

__all__ = ('StoryCommand',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoryCommand:
    """Tell from log files what became of a request.

    Attributes
    ----------
    request : str
        Id of the request.
    paths : tuple of str
        Log files of nodes.
    """

    request: str
    paths: tuple[str, ...]
