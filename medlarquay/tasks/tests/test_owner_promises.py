"""What callers are told matches what ran, in any order of events."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from medlarquay import events, ids, states
from medlarquay.tasks.tests import owner_bench

_SHED = ((b'medlarquay-shed', b'1'),)
_LINKS = (ids.LinkId(3), ids.LinkId(4))
_KEYS = ('a', 'b', 'c')


class _Promises(stateful.RuleBasedStateMachine):
    """An owner under random calls, answers, failures, crashes and pauses."""

    def __init__(self) -> None:
        super().__init__()
        self.bench = owner_bench.OwnerBench(slots=2)
        self.calls = 0
        self.names: dict[int, str] = {}
        self.keys: dict[str | None, str] = {}
        self.running: dict[int, str] = {}
        self.ran: list[str] = []
        self.read_starts = 0
        self.read_replies = 0
        self.read_aborts = 0
        self.told: dict[int, str] = {}
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
        """Let a caller send a request, with a key or without."""
        self.calls += 1
        name = f'/key/{key}' if key else f'/call/{self.calls}'
        self.names[self.calls] = name
        bound = self.keys.setdefault(
            key,
            owner_bench.bound_key(
                str(key),
                issued_at=self.bench.clock.seconds(),
            ),
        )
        self.bench.call(
            self.calls,
            key=bound if key else None,
            idempotent=idempotent and not key,
            timeout=timeout,
            target=name,
            link=link,
        )
        self._read()

    @stateful.precondition(lambda machine: machine.running)
    @stateful.rule(
        data=st.data(),
        outcome=st.sampled_from(['answer', 'answer', 'shed', 'lose', 'unsent']),
    )
    def end(self, data: st.DataObject, outcome: str) -> None:
        """Let the backend server end one request."""
        exchange = data.draw(st.sampled_from(sorted(self.running)))
        name = self.running.pop(exchange)
        if outcome in {'answer', 'lose'}:
            self.ran.append(name)
        if outcome == 'answer':
            self.bench.answer(exchange)
        elif outcome == 'shed':
            self.bench.answer(exchange, status=503, headers=_SHED)
        else:
            self.bench.fail(exchange, sent=outcome == 'lose')
        self._read()

    @stateful.rule()
    def crash_or_recover(self) -> None:
        """Crash the backend server, or start it again."""
        if self.up:
            in_flight = tuple(self.running)
            self.ran.extend(self.running.values())
            self.running.clear()
            self.bench.crash(*in_flight)
        else:
            self.bench.recover()
        self.up = not self.up
        self._read()

    @stateful.precondition(lambda machine: machine.calls)
    @stateful.rule(data=st.data(), link=st.sampled_from(_LINKS))
    def cancel(self, data: st.DataObject, link: ids.LinkId) -> None:
        """Let one caller go."""
        number = data.draw(st.integers(1, self.calls))
        event = events.CancelCall(link=link, call_id=ids.CallId(number))
        self.bench.owner.post(event)
        self._read()

    @stateful.rule(link=st.sampled_from(_LINKS))
    def close_link(self, link: ids.LinkId) -> None:
        """Let an ingress go."""
        self.bench.owner.post(events.LinkClosed(link=link))
        self._read()

    @stateful.rule(seconds=st.sampled_from([0.5, 2, 20]), late=st.booleans())
    def wait(self, seconds: float, late: bool) -> None:
        """Let time pass, or pause the process."""
        if late:
            self.bench.pause(seconds)
        else:
            self.bench.wait(seconds)
        self._read()

    @stateful.invariant()
    def keys_run_once(self) -> None:
        """A key runs at most once, counting requests in flight."""
        names = [*self.ran, *self.running.values()]
        assert len(names) == len(set(names))

    @stateful.invariant()
    def refused_calls_did_not_run(self) -> None:
        """A call without a key that was told not run never runs."""
        names = {*self.ran, *self.running.values()}
        for number, told in self.told.items():
            refused = told.startswith('not-run')
            assert not (refused and self.names[number] in names) or (
                self.names[number].startswith('/key/')
            )

    def _read(self) -> None:
        """Take over what the owner sent; replies come after the starts."""
        starts = self.bench.backend.of_type(events.StartRequest)
        for start in starts[self.read_starts :]:
            self.running[start.exchange] = start.target.decode()
        self.read_starts = len(starts)
        aborts = self.bench.backend.of_type(events.AbortRequest)
        for abort in aborts[self.read_aborts :]:
            self.ran.append(self.running.pop(abort.exchange))
        self.read_aborts = len(aborts)
        replies = self.bench.links.of_type(events.SendReply)
        for reply in replies[self.read_replies :]:
            self._check_reply(reply.message.call_id)
        self.read_replies = len(replies)

    def _check_reply(self, number: int) -> None:
        assert number not in self.told, 'told twice'
        told = self.bench.told()[number]
        self.told[number] = told
        if told.startswith('run') or told.startswith('replayed'):
            assert self.names[number] in self.ran
        elif told.startswith('not-run'):
            assert self.names[number] not in self.ran


def test_callers_are_told_what_happened() -> None:
    """Guards against a wrong outcome, a second reply and a second run."""
    stateful.run_state_machine_as_test(
        _Promises,
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


def test_waiting_repeats_are_bounded() -> None:
    """Guards against memory use by a caller that resends without end."""
    bench = owner_bench.OwnerBench()
    for number in range(1, 70):
        bench.call(number, key='bound')
    assert set(bench.told().values()) == {'unknown queue_full'}
    assert len(bench.told()) == 69 - 64


def test_every_refusal_is_counted() -> None:
    """Guards against refusals that operators cannot see."""
    bench = owner_bench.OwnerBench()
    bench.owner.post(events.DrainRequested())
    bench.call(1)
    bench.call(2, timeout=0)
    counts = bench.counters.counts
    assert counts[states.RefusalReason.DRAINING] == 1
    assert counts[states.RefusalReason.DEADLINE_PASSED] == 1
