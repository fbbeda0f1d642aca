"""What the configuration logs of the changes that it applies."""

from collections.abc import Iterator

import logbook
import pytest
from twisted.internet import task as twisted_task

from medlarquay import events, ids, replica, telemetry
from medlarquay.cli import log_line
from medlarquay.tasks import configuration, task

_DOCUMENT = b'{"services": {"desk": {}}, "routes": []}'


class _Slow(task.Task):
    """A subscriber that takes a time for each snapshot."""

    def __init__(self, *, clock: twisted_task.Clock) -> None:
        super().__init__(name='slow')
        self._clock = clock

    def receive(self, message: object) -> None:
        """Be busy."""
        self._clock.rightNow += 0.025


class _Bench:
    """A configuration without peers."""

    def __init__(self, *, startup_deadline: float = 0) -> None:
        self.clock = twisted_task.Clock()
        self.clock.advance(100)
        self.counters = telemetry.Counters()
        self.configuration = configuration.Configuration(
            subscribers=(_Slow(clock=self.clock),),
            freshness_subscribers=(),
            floor=replica.Floor(peers=(), startup_deadline=startup_deadline),
            reactor=self.clock,
            clock=self.clock.seconds,
            counters=self.counters,
        )
        self.other = replica.Replica()

    def read(self, revision: int, *, asked_ago: float) -> None:
        """Let the source answer a read of the tree and one of the list."""
        for tree in replica.SourceTree:
            teams = tree is replica.SourceTree.TEAMS
            self.configuration.post(
                events.DocumentsRead(
                    tree=tree,
                    after=ids.Revision(0),
                    revision=ids.Revision(revision),
                    entries=_values(revision) if teams else (),
                    asked_at=self.clock.seconds() - asked_ago,
                    wire_bytes=400 if teams else 0,
                ),
            )

    def receive(self, revision: int, *, wire_bytes: int) -> None:
        """Let a peer send one change of the tree."""
        base = self.other.vector
        replica.apply_source(
            self.other,
            tree=replica.SourceTree.TEAMS,
            after=base.tree_revision,
            revision=ids.Revision(revision),
            entries=_values(revision),
        )
        self.configuration.post(
            events.RecordsReceived(
                peer='peer',
                delta=self.other.delta_after(base),
                wire_bytes=wire_bytes,
                received_at=self.clock.seconds() - 0.01,
            ),
        )


def _values(revision: int) -> tuple[replica.SourceValue, ...]:
    return (
        replica.SourceValue(
            key='team',
            revision=ids.Revision(revision),
            content=_DOCUMENT,
        ),
    )


def _lines(logged: logbook.TestHandler) -> list[dict[str, str]]:
    return [
        log_line.LogLine(
            source='',
            time='',
            part=record.channel,
            text=record.message,
        ).fields
        for record in logged.records
        if 'origin=' in record.message
    ]


def _only(found: list[dict[str, str]]) -> dict[str, str]:
    """Return the only line."""
    assert len(found) == 1
    return found[0]


@pytest.fixture
def logged() -> Iterator[logbook.TestHandler]:
    """Collect the lines that are logged."""
    with logbook.TestHandler() as handler:
        yield handler


def test_a_change_from_the_source_is_logged_with_its_age(
    logged: logbook.TestHandler,
) -> None:
    """Guards against a change of which no line tells how late it came."""
    bench = _Bench()
    bench.read(3, asked_ago=0.5)
    bench.clock.advance(5)
    logged.records.clear()
    bench.read(4, asked_ago=0.8)
    found = _lines(logged)[0]
    assert found['origin'] == 'source'
    assert found['tree_revision'] == '4'
    assert (found['teams'], found['bytes']) == ('1', '400')
    assert (found['age_ms'], found['apply_ms']) == ('825', '25')
    measured = bench.counters.histograms
    assert measured.configuration_apply.greatest == pytest.approx(0.025)


def test_a_change_from_a_peer_is_one_line(
    logged: logbook.TestHandler,
) -> None:
    """Guards against a slow change that cannot be told from a late one."""
    bench = _Bench()
    bench.read(3, asked_ago=0)
    bench.clock.advance(1)
    logged.records.clear()
    bench.receive(5, wire_bytes=74_000)
    found = _only(_lines(logged))
    assert found['origin'] == 'peer'
    assert (found['parts'], found['bytes']) == ('1', '74000')
    assert found['apply_ms'] == '35'
    assert int(found['age_ms']) >= 1000


def test_parts_that_wait_for_the_start_are_counted_together(
    logged: logbook.TestHandler,
) -> None:
    """Guards against a start that shows the cost of its last part only."""
    bench = _Bench(startup_deadline=103)
    bench.receive(5, wire_bytes=1000)
    bench.receive(6, wire_bytes=500)
    assert not _lines(logged)
    bench.configuration.start()
    bench.configuration.post(
        events.PeerVersion(peer='peer', vector=bench.other.vector),
    )
    for _ in range(8):
        bench.clock.advance(0.5)
    found = _only(_lines(logged))
    assert (found['parts'], found['bytes']) == ('2', '1500')
    assert found['age_ms'] == '-'
    assert int(found['apply_ms']) >= 3000
