"""Tests of the log lines of applied configuration changes."""

from collections.abc import Iterator

import logbook
import pytest
from twisted.internet import task as twisted_task

from medlarquay import events, ids, replica, telemetry
from medlarquay.cli import log_line
from medlarquay.tasks import configuration, task

_DOCUMENT = b'{"services": {"desk": {}}, "routes": []}'


class _SlowSubscriber(task.Task):
    """A subscriber that takes 25 ms for each snapshot."""

    def __init__(self, *, clock: twisted_task.Clock) -> None:
        super().__init__(name='slow')
        self._clock = clock

    def receive(self, message: object) -> None:
        """Advance the clock by the processing time."""
        self._clock.rightNow += 0.025


class ConfigurationBench:
    """A configuration task on a simulated clock, with a peer's replica."""

    def __init__(self, *, startup_deadline: float = 0) -> None:
        self.clock = twisted_task.Clock()
        self.clock.advance(100)
        self.counters = telemetry.Counters()
        self.configuration = configuration.Configuration(
            subscribers=(_SlowSubscriber(clock=self.clock),),
            freshness_subscribers=(),
            floor=replica.Floor(peers=(), startup_deadline=startup_deadline),
            reactor=self.clock,
            clock=self.clock.seconds,
            counters=self.counters,
        )
        self.peer_replica = replica.Replica()

    def read(self, revision: int, *, asked_ago: float) -> None:
        """Deliver the answers of the source to a read of each tree."""
        for tree in replica.SourceTree:
            is_teams = tree is replica.SourceTree.TEAMS
            self.configuration.post(
                events.DocumentsRead(
                    tree=tree,
                    after=ids.Revision(0),
                    revision=ids.Revision(revision),
                    entries=_values(revision) if is_teams else (),
                    asked_at=self.clock.seconds() - asked_ago,
                    wire_bytes=400 if is_teams else 0,
                ),
            )

    def receive(self, revision: int, *, wire_bytes: int) -> None:
        """Deliver one change of the settings tree from a peer."""
        base = self.peer_replica.vector
        replica.apply_source(
            self.peer_replica,
            tree=replica.SourceTree.TEAMS,
            after=base.tree_revision,
            revision=ids.Revision(revision),
            entries=_values(revision),
        )
        self.configuration.post(
            events.RecordsReceived(
                peer='peer',
                delta=self.peer_replica.delta_after(base),
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


def _change_fields(logged: logbook.TestHandler) -> list[dict[str, str]]:
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


def _only(lines: list[dict[str, str]]) -> dict[str, str]:
    """Return the fields of the only line."""
    assert len(lines) == 1
    return lines[0]


@pytest.fixture
def logged() -> Iterator[logbook.TestHandler]:
    """Collect the log lines of a test."""
    with logbook.TestHandler() as handler:
        yield handler


def test_source_change_is_logged_with_its_age(
    logged: logbook.TestHandler,
) -> None:
    """Guards against a change that is logged without its age."""
    bench = ConfigurationBench()
    bench.read(3, asked_ago=0.5)
    bench.clock.advance(5)
    logged.records.clear()
    bench.read(4, asked_ago=0.8)
    fields = _change_fields(logged)[0]
    assert fields['origin'] == 'source'
    assert fields['tree_revision'] == '4'
    assert (fields['teams'], fields['bytes']) == ('1', '400')
    assert (fields['age_ms'], fields['apply_ms']) == ('825', '25')
    histograms = bench.counters.histograms
    assert histograms.configuration_apply.greatest == pytest.approx(0.025)


def test_peer_change_is_logged_in_one_line(
    logged: logbook.TestHandler,
) -> None:
    """Guards against a log that does not tell slow changes from late ones."""
    bench = ConfigurationBench()
    bench.read(3, asked_ago=0)
    bench.clock.advance(1)
    logged.records.clear()
    bench.receive(5, wire_bytes=74_000)
    fields = _only(_change_fields(logged))
    assert fields['origin'] == 'peer'
    assert (fields['parts'], fields['bytes']) == ('1', '74000')
    assert fields['apply_ms'] == '35'
    assert int(fields['age_ms']) >= 1000


def test_parts_received_before_serving_are_logged_together(
    logged: logbook.TestHandler,
) -> None:
    """Guards against a start of which the log shows the last part only.

    Parts that arrive before the node may serve are published together.
    """
    bench = ConfigurationBench(startup_deadline=103)
    bench.receive(5, wire_bytes=1000)
    bench.receive(6, wire_bytes=500)
    assert not _change_fields(logged)
    bench.configuration.start()
    bench.configuration.post(
        events.PeerVersion(peer='peer', vector=bench.peer_replica.vector),
    )
    for _ in range(8):
        bench.clock.advance(0.5)
    fields = _only(_change_fields(logged))
    assert (fields['parts'], fields['bytes']) == ('2', '1500')
    assert fields['age_ms'] == '-'
    assert int(fields['apply_ms']) >= 3000
