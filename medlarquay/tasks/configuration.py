"""The task that owns the configuration of the node."""

import functools

from medlarquay import errors, events, ids, replica, settings, snapshots
from medlarquay.tasks import task

__all__ = ('Configuration',)


class Configuration(task.Task):
    """Owns the documents and instances held and builds the snapshot.

    Parameters
    ----------
    subscribers : tuple of Task
        Receive ``SnapshotReplaced``.
    """

    def __init__(self, *, subscribers: tuple[task.Task, ...]) -> None:
        super().__init__(name='configuration')
        self.documents: dict[ids.TeamName, settings.TeamDocument] = {}
        self.instances: dict[ids.InstanceId, replica.InstanceRecord] = {}
        self.revisions = {'teams': 0, 'instances': 0}
        self._subscribers = subscribers

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def reject(self, failure: errors.MedlarquayError) -> None:
        """Log the rejection of a document."""
        self._log.warning('rejected a document: {}', failure)

    def publish(self) -> None:
        """Build the snapshot and give it to the subscribers."""
        snapshot = snapshots.build_snapshot(
            documents=self.documents.values(),
            instances=self.instances.values(),
            tree_revision=ids.Revision(self.revisions['teams']),
            list_revision=ids.Revision(self.revisions['instances']),
        )
        for subscriber in self._subscribers:
            subscriber.post(events.SnapshotReplaced(snapshot=snapshot))


@functools.singledispatch
def _handle(message: object, configuration: Configuration) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _read(message: events.DocumentsRead, configuration: Configuration) -> None:
    # A source that is behind answers with an older revision; it is ignored.
    if message.revision <= configuration.revisions[message.tree]:
        return
    for entry in message.entries:
        if message.tree == 'teams':
            _take_document(entry, configuration)
        else:
            _take_instance(entry, configuration)
    configuration.revisions[message.tree] = message.revision
    configuration.publish()


def _take_document(
    entry: events.SourceEntry,
    configuration: Configuration,
) -> None:
    team = ids.TeamName(entry.key)
    if entry.content is None:
        configuration.documents.pop(team, None)
        return
    try:
        document = settings.parse_document(team=team, content=entry.content)
    except errors.DocumentError as failure:
        configuration.reject(failure)
        return
    configuration.documents[team] = document


def _take_instance(
    entry: events.SourceEntry,
    configuration: Configuration,
) -> None:
    if entry.content is None:
        configuration.instances.pop(ids.InstanceId(entry.key), None)
        return
    record = replica.parse_instance(
        content=entry.content,
        revision=entry.revision,
    )
    configuration.instances[record.instance] = record
