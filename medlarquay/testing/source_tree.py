"""Tree of the source double, with its history."""

__all__ = ('SourceTree',)


class SourceTree:
    """Values by key, with one revision for each change.

    The history is kept because a stale replica answers with an older revision.
    """

    def __init__(self) -> None:
        self._changes: list[tuple[str, str | None]] = []

    @property
    def revision(self) -> int:
        """Revision of the latest change."""
        return len(self._changes)

    def publish(self, key: str, content: str | None) -> int:
        """Set or delete one value; return its revision."""
        self._changes.append((key, content))
        return self.revision

    def entries(
        self,
        *,
        after: int,
        until: int,
    ) -> list[dict[str, str | int | None]]:
        """Return the latest change of each key between two revisions."""
        latest: dict[str, dict[str, str | int | None]] = {}
        for offset, (key, content) in enumerate(self._changes[after:until]):
            latest[key] = {
                'key': key,
                'revision': after + offset + 1,
                'value': content,
            }
        return list(latest.values())
