"""Records newer than what the receiver holds."""

import dataclasses

from medlarquay import ids, replica

__all__ = ('Records',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Records:
    """Records newer than what the receiver holds.

    Attributes
    ----------
    teams : tuple[replica.TeamRecord, ...]
        Changed team records.
    instances : tuple[replica.InstanceRecord, ...]
        Changed instance records.
    tree_revision : ids.Revision
        Tree revision that the sender holds.
    list_revision : ids.Revision
        List revision that the sender holds.
    digest : ids.Digest
        Digest over all of the sender's records.
    """

    teams: tuple[replica.TeamRecord, ...]
    instances: tuple[replica.InstanceRecord, ...]
    tree_revision: ids.Revision
    list_revision: ids.Revision
    digest: ids.Digest
