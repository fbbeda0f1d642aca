"""Task that decides which requests the local backend server runs."""

from medlarquay.tasks import owner_base, owner_handle
from medlarquay.tasks import owner_quarantine as _owner_quarantine

__all__ = (
    'Owner',
    # Registers handlers when it is imported.
    '_owner_quarantine',
)


class Owner(owner_base.OwnerBase):
    """Owns admission, ledger and quarantine of the local backend server.

    Notes
    -----
    The packages ``admission``, ``ledger`` and ``quarantine`` make the
    decisions. This task converts messages into their events and carries out
    their decisions.
    """

    def receive(self, message: object) -> None:
        """Handle one message."""
        owner_handle.handle(message, self)
        self.finish_drain()
