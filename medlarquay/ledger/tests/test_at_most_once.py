"""At-most-once execution per key in a fleet with faults (model test)."""

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
# Callers may resend a key without creation time for this long only, because the
# home cannot tell the age of such a key.
_MAX_RESEND_S = 590

_nodes = st.sampled_from(_NODES)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Node:
    """A node with its own view of the instance list and its own clock skew."""

    name: ids.InstanceId
    incarnation: ids.Incarnation
    state: ledger.Ledger
    skew: float
    lag: float = 0
    reachable: bool = True
    view: frozenset[ids.InstanceId] = frozenset()


@dataclasses.dataclass(slots=True, kw_only=True)
class _Attempt:
    """An attempt that a node accepted to run."""

    node: _Node
    key: ids.RequestKey
    begun: bool = False


class _Fleet(stateful.RuleBasedStateMachine):
    """Three nodes with one instance list, with lag, partitions and pauses."""

    with_ledger = True

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 100
        self.serial = 0
        self.random = random.Random(4)
        self.changes = [(_STEP_S, frozenset(_NODES))]
        self.nodes = {name: self._start_node(name) for name in _NODES}
        self.made_at: dict[ids.RequestKey, float] = {}
        self.runs: dict[ids.RequestKey, int] = {}
        self.attempts: list[_Attempt] = []

    made_keys = stateful.Bundle('made_keys')

    @stateful.rule(
        target=made_keys,
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
        """Issue or make a key; the clock of the caller may be slow."""
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
            timestamp_ms = int((_WALL + self.now + skew) * 1000)
            uuid_bits = timestamp_ms << 80 | 7 << 76 | 2 << 62 | self.serial
            key = ids.RequestKey(str(uuid.UUID(int=uuid_bits)))
        self.made_at[key] = self.now
        return key

    @stateful.rule(key=made_keys, ingress=_nodes, begin=st.booleans())
    def send(
        self,
        key: ids.RequestKey,
        ingress: ids.InstanceId,
        begin: bool,
    ) -> None:
        """Send a key through an ingress, which finds the home in its view."""
        parsed = keys.parse_key(key)
        timed = isinstance(parsed, keys.PlainKey) and parsed.created_at
        if not timed and self.now - self.made_at[key] > _MAX_RESEND_S:
            return
        if isinstance(parsed, keys.BoundKey):
            home = parsed.instance
        else:
            home = keys.home_of(key, self.nodes[ingress].view)
        if home is None:
            return
        node = self.nodes[home]
        decision = self._receive_key(parsed, node)
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
        """End an accepted attempt: answered, lost or withdrawn."""
        if not self.attempts:
            return
        index = data.draw(st.integers(0, len(self.attempts) - 1))
        attempt = self.attempts.pop(index)
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
        """Let time pass; reachable nodes receive the list with their lag."""
        until = self.now + seconds
        while self.now < until:
            self.now += _STEP_S
            for node in self.nodes.values():
                if node.reachable:
                    self._receive_list(node)

    @stateful.rule(node=_nodes)
    def change_list(self, node: ids.InstanceId) -> None:
        """Add or remove a backend server."""
        listed = self.changes[-1][1] ^ {node}
        self.changes.append((self.now, listed))

    @stateful.rule(key=made_keys)
    def move_home(self, key: ids.RequestKey) -> None:
        """Remove the home of a key from the instance list."""
        listed = self.changes[-1][1]
        home = keys.home_of(key, listed)
        if home is not None:
            self.changes.append((self.now, listed - {home}))

    @stateful.rule(key=made_keys)
    def resend(self, key: ids.RequestKey) -> None:
        """Send a key through every ingress."""
        for ingress in _NODES:
            self.send(key=key, ingress=ingress, begin=True)

    @stateful.rule(node=_nodes)
    def restart(self, node: ids.InstanceId) -> None:
        """Restart a node with a new incarnation and an empty ledger."""
        self.nodes[node] = self._start_node(node)

    @stateful.rule(node=_nodes, reachable=st.booleans())
    def partition(self, node: ids.InstanceId, reachable: bool) -> None:
        """Cut a node off from the instance list, or reconnect it."""
        self.nodes[node].reachable = reachable

    @stateful.rule(node=_nodes, lag=st.sampled_from([0, 1, 4]))
    def delay(self, node: ids.InstanceId, lag: float) -> None:
        """Change the lag at which a node receives the instance list."""
        self.nodes[node].lag = lag

    @stateful.rule(node=_nodes, seconds=st.sampled_from([2, 10, 100]))
    def pause(self, node: ids.InstanceId, seconds: float) -> None:
        """Pause a node; the next requests are decided on its outdated state."""
        paused = self.nodes[node]
        reachable = paused.reachable
        paused.reachable = False
        self.wait(seconds=seconds)
        paused.reachable = reachable

    @stateful.invariant()
    def no_key_runs_twice(self) -> None:
        """Check that each key was run at most once in the fleet."""
        assert all(count <= 1 for count in self.runs.values())

    def _start_node(self, name: ids.InstanceId) -> _Node:
        self.serial += 1
        incarnation = ids.Incarnation(f'{self.serial:x}')
        node = _Node(
            name=name,
            incarnation=incarnation,
            state=ledger.Ledger(instance=name, incarnation=incarnation),
            skew=self.random.choice([-1, 0, 1]),
        )
        self._receive_list(node)
        return node

    def _receive_list(self, node: _Node) -> None:
        as_of = self.now - node.lag
        node.view = [
            listed for since, listed in self.changes if since <= as_of
        ][-1]
        self._decide(ledger.BackendsReplaced(instances=node.view), node)
        self._decide(events.FreshnessConfirmed(confirmed_at=as_of), node)

    def _receive_key(
        self,
        key: keys.BoundKey | keys.PlainKey,
        node: _Node,
    ) -> ledger.Decision | None:
        if not self.with_ledger:
            return ledger.Proceed()
        self.serial += 1
        received = ledger.KeyReceived(
            key=key,
            fingerprint=_FINGERPRINT,
            exchange=ids.ExchangeId(self.serial),
        )
        return self._decide(received, node)

    def _decide(self, event: object, node: _Node) -> ledger.Decision | None:
        wall = _WALL + self.now + node.skew
        return ledger.decide(event, node.state, self.now, wall)

    def _begin(self, attempt: _Attempt) -> None:
        if not attempt.begun:
            attempt.begun = True
            self.runs[attempt.key] = self.runs.get(attempt.key, 0) + 1


class _FleetWithoutLedger(_Fleet):
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
    """Guards against a retry that executes an approval or an order twice.

    The home of the key may change, or restart with an empty ledger, between
    two attempts.
    """
    stateful.run_state_machine_as_test(_Fleet, settings=_SETTINGS)


def test_model_without_ledger_runs_keys_twice() -> None:
    """Guards against a model too weak to show a request that ran twice.

    Without a ledger, the model must find a key that runs twice.
    """
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            _FleetWithoutLedger, settings=_SETTINGS
        )
