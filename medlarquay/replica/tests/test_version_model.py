"""Stateful test of versions with lost, reordered and repeated deltas."""

import json

import hypothesis
from hypothesis import stateful, strategies

from medlarquay import ids, replica, snapshots

_NODES = strategies.integers(min_value=0, max_value=2)
_TEAMS = strategies.sampled_from(('agency', 'cooperative'))
_INDEXES = strategies.integers(min_value=0, max_value=99)


class VersionModel(stateful.RuleBasedStateMachine):
    """Three nodes, two teams, and messages delivered in any order."""

    def __init__(self) -> None:
        super().__init__()
        # Every value ever published, by revision; None means deleted.
        self.published: dict[int, tuple[str, bytes | None]] = {}
        self.replicas = [replica.Replica() for _ in range(3)]
        self.in_flight: list[replica.Delta] = []
        self.served: list[dict[str, int]] = [{}, {}, {}]

    @stateful.rule(team=_TEAMS, limit=_INDEXES)
    def publish(self, team: str, limit: int) -> None:
        """Publish a valid document; operators may do so concurrently."""
        content = {
            'services': {'portal': {'queue_limit': limit + 1}},
            'routes': [{'host': f'portal.{team}', 'service': 'portal'}],
        }
        self._publish(team, json.dumps(content).encode())

    @stateful.rule(team=_TEAMS)
    def publish_bad(self, team: str) -> None:
        """Publish an invalid document: its route has no service."""
        route = {'host': f'portal.{team}', 'service': 'absent'}
        self._publish(team, json.dumps({'routes': [route]}).encode())

    @stateful.rule(team=_TEAMS)
    def delete(self, team: str) -> None:
        """Delete a team's document."""
        self._publish(team, None)

    @stateful.rule(node=_NODES, behind=strategies.integers(0, 3))
    def read(self, node: int, behind: int) -> None:
        """Read the source, or a replica of the source that lags."""
        held = self.replicas[node]
        latest = max(0, len(self.published) - behind)
        after = held.vector.tree_revision
        values = {
            team: (revision, content)
            for revision, (team, content) in self.published.items()
            if revision <= latest
        }
        replica.apply_source(
            held,
            tree=replica.SourceTree.TEAMS,
            after=after,
            revision=ids.Revision(latest),
            entries=tuple(
                replica.SourceValue(
                    key=team,
                    revision=ids.Revision(revision),
                    content=content,
                )
                for team, (revision, content) in values.items()
                if revision > after
            ),
        )

    @stateful.rule(sender=_NODES, receiver=_NODES)
    def send(self, sender: int, receiver: int) -> None:
        """Send a delta from one node to another; it is in flight then."""
        base = self.replicas[receiver].vector
        self.in_flight.append(self.replicas[sender].delta_after(base))

    @stateful.rule(node=_NODES, index=_INDEXES, keep=strategies.booleans())
    def deliver(self, node: int, index: int, *, keep: bool) -> None:
        """Deliver a message in flight to any node, possibly late or twice."""
        if self.in_flight:
            position = index % len(self.in_flight)
            self.replicas[node].apply_delta(self.in_flight[position])
            if not keep:
                self.in_flight.pop(position)

    @stateful.rule(index=_INDEXES)
    def lose(self, index: int) -> None:
        """Drop a message in flight."""
        if self.in_flight:
            self.in_flight.pop(index % len(self.in_flight))

    @stateful.rule(node=_NODES)
    def restart(self, node: int) -> None:
        """Restart a node without state; it serves nothing below the floor."""
        self.replicas[node] = replica.Replica()
        self.served[node] = {}

    @stateful.invariant()
    def never_goes_back(self) -> None:
        """Guards against a node that reverts to an older version (P1)."""
        for node, held in enumerate(self.replicas):
            for record in held.teams:
                previous = self.served[node].get(record.team, 0)
                assert record.accepted_revision >= previous
                self.served[node][record.team] = record.accepted_revision

    @stateful.invariant()
    def holds_what_was_published(self) -> None:
        """Guards against a document applied in part or after rejection (P3)."""
        for held in self.replicas:
            for record in held.teams:
                if record.accepted_revision:
                    team, content = self.published[record.accepted_revision]
                    assert (record.team, record.content) == (
                        team,
                        content or b'',
                    )
                    assert b'absent' not in record.content

    @stateful.invariant()
    def snapshots_are_closed(self) -> None:
        """Guards against a route to a service missing in the snapshot (P2)."""
        for held in self.replicas:
            built = snapshots.build_snapshot(
                documents=held.documents,
                instances=held.instances,
                tree_revision=held.vector.tree_revision,
                list_revision=held.vector.list_revision,
            )
            services = {id(service) for service in built.services.values()}
            for routes in built.routes.values():
                assert all(id(route.service) in services for route in routes)

    @stateful.invariant()
    def vector_claims_no_more_than_is_held(self) -> None:
        """Guards against a delta whose gap leaves a record out permanently."""
        for held in self.replicas:
            revisions = {record.team: record.revision for record in held.teams}
            for revision, (team, _) in self.published.items():
                if revision <= held.vector.tree_revision:
                    assert revisions.get(ids.TeamName(team), 0) >= revision

    def _publish(self, team: str, content: bytes | None) -> None:
        self.published[len(self.published) + 1] = (team, content)


VersionModel.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)
TestVersionModel = VersionModel.TestCase
