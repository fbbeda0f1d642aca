"""Stateful test of configuration and instances read from the store."""

import copy
from typing import Any

import cbor2
import hypothesis
from hypothesis import stateful, strategies
from twisted.internet import defer

from medlarquay import events, replica
from medlarquay.platform import settings_file, store_fetcher
from medlarquay.platform.testing import published_configuration
from medlarquay.platform.tests import store_model, test_settings_file
from medlarquay.tasks import source_fetcher

_OWN_SETTINGS = settings_file.parse_settings(
    '\n'.join(test_settings_file.LINES)
)
_NODES = strategies.integers(min_value=0, max_value=1)
_NAMES = strategies.sampled_from(('a', 'b', 'c', 'd', 'e'))
_SERVICES = strategies.sampled_from(('desk', 'portal'))
_TREES = strategies.sampled_from(tuple(replica.SourceTree))
_STATES = strategies.sampled_from(('ready', 'draining'))
_BAD = strategies.sampled_from((
    b'',
    b'\xff',
    b'\x81' * 100_000,
    cbor2.dumps({'info': {}}),
    cbor2.dumps({'address': 1}),
))


class StoreModel(stateful.RuleBasedStateMachine):
    """Two nodes that read a faulty store.

    The store drops its history, lags, and delays or repeats answers; nodes
    restart.
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = store_model.ModelStore()
        self.stale_store = copy.deepcopy(self.store)
        self.replicas = [replica.Replica(), replica.Replica()]
        self.delayed: list[tuple[int, events.DocumentsRead]] = []
        # Service of each valid version, and instance and service of each
        # valid entry, by revision.
        self.versions: dict[int, str] = {}
        self.entries: dict[int, tuple[str, str]] = {}
        self.accepted = [0, 0]

    @stateful.rule(service=_SERVICES)
    def publish(self, service: str) -> None:
        """Write a valid configuration."""
        route = {
            'host': 'app.example',
            'path_prefix': '/',
            'kind': 'repeat',
            'timeout': '1s',
            'target_latency': '200ms',
            'priority': 0,
            'attempts': 2,
            'service': service,
        }
        content = published_configuration.encode_configuration(
            {'r-1': route},
            ('desk', 'portal'),
            version=self.store.revision,
        )
        revision = self.store.write('op/config', content)
        self.versions[revision] = service

    @stateful.rule(content=_BAD)
    def publish_other_key(self, content: bytes) -> None:
        """Write an operators' key other than that of the configuration."""
        self.store.write('op/config-draft', content)

    @stateful.rule(name=_NAMES, service=_SERVICES, state=_STATES)
    def register(self, name: str, service: str, state: str) -> None:
        """Write a valid entry: a new run, or a new state of one."""
        self._register(name, service, state)

    @stateful.rule(name=_NAMES, content=_BAD)
    def register_malformed(self, name: str, content: bytes) -> None:
        """Write a malformed entry."""
        self.store.write(f'servers/{name}', content)

    @stateful.rule(name=_NAMES)
    def remove(self, name: str) -> None:
        """Remove an entry."""
        self.store.delete(f'servers/{name}')

    @stateful.rule()
    def drop_history(self) -> None:
        """Drop the history, so that the next watch of each node fails."""
        self.store.drop_history()

    @stateful.rule()
    def save_stale_store(self) -> None:
        """Save the present state for stale reads."""
        self.stale_store = copy.deepcopy(self.store)

    @stateful.rule(node=_NODES, tree=_TREES)
    def read(self, node: int, tree: replica.SourceTree) -> None:
        """Read the store."""
        self._apply(node, self._fetch(self.store, node, tree))

    @stateful.rule(node=_NODES, name=_NAMES)
    def list_during_write(self, node: int, name: str) -> None:
        """Guards against missing a change that is made between two pages."""
        # Without a newer revision the node would continue its watch.
        self.store.write('op/other', b'')
        self.store.drop_history()
        self.store.between_pages = lambda: self._register(
            name,
            'desk',
            'ready',
        )
        tree = replica.SourceTree.INSTANCES
        self._apply(node, self._fetch(self.store, node, tree))
        self.store.between_pages = None
        self._settle(node)

    @stateful.rule(node=_NODES, tree=_TREES)
    def read_stale_store(self, node: int, tree: replica.SourceTree) -> None:
        """Read a stale state of the store."""
        self._apply(node, self._fetch(self.stale_store, node, tree))

    @stateful.rule(node=_NODES, tree=_TREES)
    def delay_answer(self, node: int, tree: replica.SourceTree) -> None:
        """Read, and delay the answer."""
        self.delayed.append((node, self._fetch(self.store, node, tree)))

    @stateful.rule(
        index=strategies.integers(0, 99),
        keep=strategies.booleans(),
    )
    def deliver_delayed_answer(self, index: int, *, keep: bool) -> None:
        """Deliver a delayed answer, once or repeatedly."""
        if self.delayed:
            position = index % len(self.delayed)
            self._apply(*self.delayed[position])
            if not keep:
                self.delayed.pop(position)

    @stateful.rule(node=_NODES)
    def restart(self, node: int) -> None:
        """Drop the state of a node and the delayed answers to it."""
        self.replicas[node] = replica.Replica()
        self.accepted[node] = 0
        self.delayed = [answer for answer in self.delayed if answer[0] != node]

    @stateful.rule(node=_NODES)
    def settle(self, node: int) -> None:
        """Guards against a node that does not converge to the store."""
        self._settle(node)

    @stateful.invariant()
    def revision_never_decreases(self) -> None:
        """Guards against an older configuration that replaces a newer one."""
        for node, held in enumerate(self.replicas):
            for team in held.teams:
                assert team.accepted_revision >= self.accepted[node]
                self.accepted[node] = team.accepted_revision

    @stateful.invariant()
    def holds_only_written_values(self) -> None:
        """Guards against a route or entry whose service nobody wrote."""
        for held in self.replicas:
            for document in held.documents:
                revision = next(iter(held.teams)).accepted_revision
                route = document.routes[0]
                assert route.service == self.versions[revision]
            for entry in held.instances:
                assert self.entries[entry.revision] == (
                    entry.instance,
                    entry.service,
                )

    def _settle(self, node: int) -> None:
        for tree in replica.SourceTree:
            self._apply(node, self._fetch(self.store, node, tree))
        held = self.replicas[node]
        latest = max(self.versions, default=0)
        accepted = [team.accepted_revision for team in held.teams]
        expected = [latest] if latest else []
        assert accepted == expected
        services = {entry.instance: entry.service for entry in held.instances}
        listed = (
            self.entries.get(item['revision'])
            for key, item in self.store.items.items()
            if key.startswith('servers/')
        )
        assert services == dict(entry for entry in listed if entry is not None)

    def _register(self, name: str, service: str, state: str) -> None:
        content = {
            'address': '10.1.0.9:8080',
            'info': {'service': service, 'zone': 'south-a', 'capacity': 6},
            'status': {'state': state},
        }
        revision = self.store.write(
            f'servers/{name}',
            cbor2.dumps(content),
        )
        self.entries[revision] = (name, service)

    def _fetch(
        self,
        store: store_model.ModelStore,
        node: int,
        tree: replica.SourceTree,
    ) -> events.DocumentsRead:
        vector = self.replicas[node].vector
        after = vector.list_revision
        if tree is replica.SourceTree.TEAMS:
            after = vector.tree_revision
        fetcher = store_fetcher.StoreFetcher(
            client=store,  # type: ignore[arg-type]
            own_settings=_OWN_SETTINGS,
        )
        answers: list[Any] = []
        defer.ensureDeferred(
            fetcher.fetch(tree, after=after, wait_ms=0),
        ).addBoth(answers.append)
        assert isinstance(answers[0], bytes), answers[0]
        return source_fetcher.parse_answer(
            answers[0],
            tree=tree,
            after=after,
            asked_at=0,
        )

    def _apply(self, node: int, answer: events.DocumentsRead) -> None:
        replica.apply_source(
            self.replicas[node],
            tree=answer.tree,
            after=answer.after,
            revision=answer.revision,
            entries=answer.entries,
            whole=answer.whole,
        )


TestStoreModel = StoreModel.TestCase
TestStoreModel.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=30,
)
