"""Tests that reported outcomes match the runs, in any order of events."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from medlarquay import events, ids, states
from medlarquay.tasks.tests import owner_bench

_SHED = ((b'medlarquay-shed', b'1'),)
_LINKS = (ids.LinkId(3), ids.LinkId(4))
_KEYS = ('a', 'b', 'c')


class _OutcomeMachine(stateful.RuleBasedStateMachine):
    """An owner under random calls, answers, failures, crashes and pauses."""

    def __init__(self) -> None:
        super().__init__()
        self.bench = owner_bench.OwnerBench(slots=2)
        self.calls = 0
        self.paths: dict[int, str] = {}
        self.bound_keys: dict[str | None, str] = {}
        self.running: dict[int, str] = {}
        self.ran: list[str] = []
        self.starts_read = 0
        self.replies_read = 0
        self.aborts_read = 0
        self.outcomes: dict[int, str] = {}
        self.up = True

    @stateful.rule(
        key=st.sampled_from(_KEYS + (None, None)),
        idempotent=st.booleans(),
        timeout=st.sampled_from([0.5, 3, 30]),
        link=st.sampled_from(_LINKS),
    )
    def call(
        self,
        key: str | None,
        idempotent: bool,
        timeout: float,
        link: ids.LinkId,
    ) -> None:
        """Send a request, with or without a key."""
        self.calls += 1
        path = f'/key/{key}' if key else f'/call/{self.calls}'
        self.paths[self.calls] = path
        bound_key = self.bound_keys.setdefault(
            key,
            owner_bench.bound_key(
                str(key),
                issued_at=self.bench.clock.seconds(),
            ),
        )
        self.bench.call(
            self.calls,
            key=bound_key if key else None,
            idempotent=idempotent and not key,
            timeout=timeout,
            target=path,
            link=link,
        )
        self._read_messages()

    @stateful.precondition(lambda machine: machine.running)
    @stateful.rule(
        data=st.data(),
        outcome=st.sampled_from(['answer', 'answer', 'shed', 'lose', 'unsent']),
    )
    def end(self, data: st.DataObject, outcome: str) -> None:
        """End one request at the backend server."""
        exchange = data.draw(st.sampled_from(sorted(self.running)))
        path = self.running.pop(exchange)
        if outcome in {'answer', 'lose'}:
            self.ran.append(path)
        if outcome == 'answer':
            self.bench.answer(exchange)
        elif outcome == 'shed':
            self.bench.answer(exchange, status=503, headers=_SHED)
        else:
            self.bench.fail(exchange, sent=outcome == 'lose')
        self._read_messages()

    @stateful.rule()
    def crash_or_recover(self) -> None:
        """Crash the backend server, or restart it."""
        if self.up:
            in_flight = tuple(self.running)
            self.ran.extend(self.running.values())
            self.running.clear()
            self.bench.crash(*in_flight)
        else:
            self.bench.recover()
        self.up = not self.up
        self._read_messages()

    @stateful.precondition(lambda machine: machine.calls)
    @stateful.rule(data=st.data(), link=st.sampled_from(_LINKS))
    def cancel(self, data: st.DataObject, link: ids.LinkId) -> None:
        """Cancel one call."""
        number = data.draw(st.integers(1, self.calls))
        event = events.CancelCall(link=link, call_id=ids.CallId(number))
        self.bench.owner.post(event)
        self._read_messages()

    @stateful.rule(link=st.sampled_from(_LINKS))
    def close_link(self, link: ids.LinkId) -> None:
        """Close the link of an ingress."""
        self.bench.owner.post(events.LinkClosed(link=link))
        self._read_messages()

    @stateful.rule(seconds=st.sampled_from([0.5, 2, 20]), late=st.booleans())
    def wait(self, seconds: float, late: bool) -> None:
        """Advance the clock, or pause the process."""
        if late:
            self.bench.pause(seconds)
        else:
            self.bench.wait(seconds)
        self._read_messages()

    @stateful.invariant()
    def keys_run_once(self) -> None:
        """Check that a key runs at most once, with requests in flight."""
        paths = [*self.ran, *self.running.values()]
        assert len(paths) == len(set(paths))

    @stateful.invariant()
    def refused_calls_did_not_run(self) -> None:
        """Check that a refused call without a key never runs."""
        paths = {*self.ran, *self.running.values()}
        for number, outcome in self.outcomes.items():
            refused = outcome.startswith('not-run')
            assert not (refused and self.paths[number] in paths) or (
                self.paths[number].startswith('/key/')
            )

    def _read_messages(self) -> None:
        """Read what the owner sent: starts, then aborts, then replies."""
        starts = self.bench.backend.of_type(events.StartRequest)
        for start in starts[self.starts_read :]:
            self.running[start.exchange] = start.target.decode()
        self.starts_read = len(starts)
        aborts = self.bench.backend.of_type(events.AbortRequest)
        for abort in aborts[self.aborts_read :]:
            self.ran.append(self.running.pop(abort.exchange))
        self.aborts_read = len(aborts)
        replies = self.bench.links.of_type(events.SendReply)
        for reply in replies[self.replies_read :]:
            self._check_reply(reply.message.call_id)
        self.replies_read = len(replies)

    def _check_reply(self, number: int) -> None:
        assert number not in self.outcomes, 'second reply to a call'
        outcome = self.bench.outcomes()[number]
        self.outcomes[number] = outcome
        if outcome.startswith('run') or outcome.startswith('replayed'):
            assert self.paths[number] in self.ran
        elif outcome.startswith('not-run'):
            assert self.paths[number] not in self.ran


def test_reported_outcomes_match_what_ran() -> None:
    """Guards against a wrong outcome, a second reply and a second run."""
    stateful.run_state_machine_as_test(
        _OutcomeMachine,
        settings=hypothesis.settings(
            derandomize=True,
            deadline=None,
            max_examples=150,
            stateful_step_count=40,
            database=None,
            phases=(hypothesis.Phase.generate,),
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


def test_waiting_resends_are_bounded() -> None:
    """Guards against unbounded memory use by a caller that keeps resending."""
    bench = owner_bench.OwnerBench()
    for number in range(1, 70):
        bench.call(number, key='bound')
    assert set(bench.outcomes().values()) == {'unknown queue_full'}
    assert len(bench.outcomes()) == 69 - 64


def test_every_refusal_is_counted() -> None:
    """Guards against refusals missing from the counters."""
    bench = owner_bench.OwnerBench()
    bench.owner.post(events.DrainRequested())
    bench.call(1)
    bench.call(2, timeout=0)
    counts = bench.counters.counts
    assert counts[states.RefusalReason.DRAINING] == 1
    assert counts[states.RefusalReason.DEADLINE_PASSED] == 1
