"""No key runs twice, whatever the fleet goes through."""

import dataclasses
import random
import uuid

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from medlarquay import events, ids, keys, ledger, states

_NODES = tuple(ids.InstanceId(name) for name in ('a', 'b', 'c'))
_STEP_S = 1
_WALL = 1_700_000_000
_FINGERPRINT = ids.Fingerprint(b'same request')
_ANSWER = ledger.RecordedAnswer(status=200, headers=(), body=b'ok')
# A caller that resends such a key for longer breaks the contract: it carries
# no creation time, so the home cannot know its age.
_RESENT_FOR_S = 590

_nodes = st.sampled_from(_NODES)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Node:
    """A node with its own view of the list and its own clocks."""

    name: ids.InstanceId
    incarnation: ids.Incarnation
    book: ledger.Ledger
    skew: float
    lag: float = 0
    reachable: bool = True
    view: frozenset[ids.InstanceId] = frozenset()


@dataclasses.dataclass(slots=True, kw_only=True)
class _Attempt:
    """A run that a node accepted."""

    node: _Node
    key: ids.RequestKey
    begun: bool = False


class _Fleet(stateful.RuleBasedStateMachine):
    """Three nodes that share a list, with lag, partitions and pauses."""

    with_ledger = True

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 100
        self.serial = 0
        self.random = random.Random(4)
        self.changes = [(_STEP_S, frozenset(_NODES))]
        self.nodes = {name: self._fresh_node(name) for name in _NODES}
        self.born: dict[ids.RequestKey, float] = {}
        self.runs: dict[ids.RequestKey, int] = {}
        self.attempts: list[_Attempt] = []

    made = stateful.Bundle('made')

    @stateful.rule(
        target=made,
        kind=st.sampled_from(['bound', 'opaque', 'timed', 'timed']),
        node=_nodes,
        skew=st.sampled_from([-30, -1, 0, 1]),
    )
    def make_key(
        self,
        kind: str,
        node: ids.InstanceId,
        skew: float,
    ) -> ids.RequestKey:
        """Let a caller make a key; its clock may be slow."""
        self.serial += 1
        if kind == 'bound':
            owner = self.nodes[node]
            key = keys.issue_key(
                instance=owner.name,
                incarnation=owner.incarnation,
                issued_at=_WALL + self.now,
            )
        elif kind == 'opaque':
            key = ids.RequestKey(f'order-{self.serial}')
        else:
            stamp = int((_WALL + self.now + skew) * 1000)
            number = stamp << 80 | 7 << 76 | 2 << 62 | self.serial
            key = ids.RequestKey(str(uuid.UUID(int=number)))
        self.born[key] = self.now
        return key

    @stateful.rule(key=made, ingress=_nodes, begin=st.booleans())
    def send(
        self,
        key: ids.RequestKey,
        ingress: ids.InstanceId,
        begin: bool,
    ) -> None:
        """Send a key through an ingress, which uses its own view."""
        parsed = keys.parse_key(key)
        timed = isinstance(parsed, keys.PlainKey) and parsed.created_at
        if not timed and self.now - self.born[key] > _RESENT_FOR_S:
            return
        if isinstance(parsed, keys.BoundKey):
            home = parsed.instance
        else:
            home = keys.home_of(key, self.nodes[ingress].view)
        if home is None:
            return
        node = self.nodes[home]
        decision = self._present(parsed, node)
        if isinstance(decision, ledger.Proceed):
            attempt = _Attempt(node=node, key=key)
            self.attempts.append(attempt)
            if begin:
                self._begin(attempt)
        if isinstance(decision, (ledger.Replay, ledger.ReportDropped)):
            assert self.runs.get(key, 0) == 1

    @stateful.rule(
        data=st.data(),
        outcome=st.sampled_from(['answer', 'lose', 'withdraw']),
    )
    def settle(self, data: st.DataObject, outcome: str) -> None:
        """Begin a queued run, or end one."""
        if not self.attempts:
            return
        place = data.draw(st.integers(0, len(self.attempts) - 1))
        attempt = self.attempts.pop(place)
        if self.nodes[attempt.node.name] is not attempt.node:
            return
        event: object = ledger.KeyReleased(key=attempt.key)
        if outcome == 'answer':
            event = ledger.Answered(key=attempt.key, answer=_ANSWER)
            self._begin(attempt)
        elif outcome == 'lose' or attempt.begun:
            event = ledger.OutcomeLost(
                key=attempt.key,
                reason=states.RefusalReason.BACKEND_LOST,
            )
        self._decide(event, attempt.node)

    @stateful.rule(seconds=st.sampled_from([1, 1, 3, 3, 6, 8, 30, 300]))
    def wait(self, seconds: float) -> None:
        """Let time pass; reachable nodes follow the list with their lag."""
        until = self.now + seconds
        while self.now < until:
            self.now += _STEP_S
            for node in self.nodes.values():
                if node.reachable:
                    self._follow(node)

    @stateful.rule(node=_nodes)
    def change_list(self, node: ids.InstanceId) -> None:
        """Add or remove a backend server."""
        listed = self.changes[-1][1] ^ {node}
        self.changes.append((self.now, listed))

    @stateful.rule(key=made)
    def move_home(self, key: ids.RequestKey) -> None:
        """Remove the home of a key from the list."""
        listed = self.changes[-1][1]
        home = keys.home_of(key, listed)
        if home is not None:
            self.changes.append((self.now, listed - {home}))

    @stateful.rule(key=made)
    def resend(self, key: ids.RequestKey) -> None:
        """Send a key through every ingress."""
        for ingress in _NODES:
            self.send(key=key, ingress=ingress, begin=True)

    @stateful.rule(node=_nodes)
    def restart(self, node: ids.InstanceId) -> None:
        """Replace a node; it has a new incarnation and no memory."""
        self.nodes[node] = self._fresh_node(node)

    @stateful.rule(node=_nodes, reachable=st.booleans())
    def partition(self, node: ids.InstanceId, reachable: bool) -> None:
        """Cut a node off from the list, or reconnect it."""
        self.nodes[node].reachable = reachable

    @stateful.rule(node=_nodes, lag=st.sampled_from([0, 1, 4]))
    def delay(self, node: ids.InstanceId, lag: float) -> None:
        """Change how far a node is behind the list."""
        self.nodes[node].lag = lag

    @stateful.rule(node=_nodes, seconds=st.sampled_from([2, 10, 100]))
    def pause(self, node: ids.InstanceId, seconds: float) -> None:
        """Pause a node: requests that arrive next meet its old state."""
        paused = self.nodes[node]
        reachable = paused.reachable
        paused.reachable = False
        self.wait(seconds=seconds)
        paused.reachable = reachable

    @stateful.invariant()
    def no_key_runs_twice(self) -> None:
        """A key runs at most once in the fleet."""
        assert all(count <= 1 for count in self.runs.values())

    def _fresh_node(self, name: ids.InstanceId) -> _Node:
        self.serial += 1
        incarnation = ids.Incarnation(f'{self.serial:x}')
        node = _Node(
            name=name,
            incarnation=incarnation,
            book=ledger.Ledger(instance=name, incarnation=incarnation),
            skew=self.random.choice([-1, 0, 1]),
        )
        self._follow(node)
        return node

    def _follow(self, node: _Node) -> None:
        seen_at = self.now - node.lag
        node.view = [
            listed for since, listed in self.changes if since <= seen_at
        ][-1]
        self._decide(ledger.EndpointsReplaced(instances=node.view), node)
        self._decide(events.FreshnessConfirmed(confirmed_at=seen_at), node)

    def _present(
        self,
        key: keys.BoundKey | keys.PlainKey,
        node: _Node,
    ) -> ledger.Decision | None:
        if not self.with_ledger:
            return ledger.Proceed()
        self.serial += 1
        presented = ledger.KeyReceived(
            key=key,
            fingerprint=_FINGERPRINT,
            exchange=ids.ExchangeId(self.serial),
        )
        return self._decide(presented, node)

    def _decide(self, event: object, node: _Node) -> ledger.Decision | None:
        wall = _WALL + self.now + node.skew
        return ledger.decide(event, node.book, self.now, wall)

    def _begin(self, attempt: _Attempt) -> None:
        if not attempt.begun:
            attempt.begun = True
            self.runs[attempt.key] = self.runs.get(attempt.key, 0) + 1


class _PlainFleet(_Fleet):
    with_ledger = False


_SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    phases=(hypothesis.Phase.generate,),
    stateful_step_count=40,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_no_key_runs_twice() -> None:
    """Guards against an approval or an order that is executed twice."""
    stateful.run_state_machine_as_test(_Fleet, settings=_SETTINGS)


def test_plain_policy_runs_keys_twice() -> None:
    """Guards against a model too weak to show a request that ran twice."""
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(_PlainFleet, settings=_SETTINGS)
