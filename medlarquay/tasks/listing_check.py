"""Direct question to the source about one instance."""

from typing import Protocol

from medlarquay import ids

__all__ = ('ListingCheck',)


class ListingCheck(Protocol):
    """Direct question to the source about one instance."""

    async def is_listed(self, instance: ids.InstanceId) -> bool:
        """Return whether the source lists an instance now.

        Raises
        ------
        SourceError
            If the source does not answer or refuses to.
        """
