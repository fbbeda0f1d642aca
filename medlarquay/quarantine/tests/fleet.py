"""Discrete-event simulation of a fleet with one poison request."""

import dataclasses
import heapq
import typing

from medlarquay import ids, quarantine

_SERVICE = ids.ServiceName('ordertake')
_POISON = ids.Fingerprint(b'poison')
_CRASH_DELAY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Event:
    kind: str
    node: int
    subject: object


class Fleet:
    """Owners that run requests, crash on the poison request and restart.

    Parameters
    ----------
    trace : dict
        Number of nodes, arrival times and nodes of the poison request, and
        times in seconds.
    quarantine_enabled : bool
        Whether the owners use the quarantine.
    """

    def __init__(
        self, trace: dict[str, typing.Any], *, quarantine_enabled: bool
    ) -> None:
        self.trace = trace
        self.quarantine_enabled = quarantine_enabled
        self.crashes = 0
        self.refused: list[ids.Fingerprint] = []
        self.finished: set[ids.Fingerprint] = set()
        self.states = [
            quarantine.Quarantine(service=_SERVICE)
            for _ in range(trace['nodes'])
        ]
        self.running: list[dict[ids.ExchangeId, ids.Fingerprint]] = [
            {} for _ in self.states
        ]
        self.held: list[list[ids.Fingerprint]] = [[] for _ in self.states]
        self.up_at: list[float] = [0 for _ in self.states]
        self.events: list[tuple[float, int, _Event]] = []
        self.serial = 0

    def run(self) -> None:
        """Run the whole trace."""
        for sent_at, node in self.trace['poison']:
            self.add(sent_at, 'arrive', node, _POISON)
        every = self.trace['neighbour_every']
        for number in range(int(self.trace['seconds'] / every)):
            fingerprint = ids.Fingerprint(b'neighbour %d' % number)
            self.add(number * every, 'arrive', number, fingerprint)
        while self.events:
            now, _, event = heapq.heappop(self.events)
            getattr(self, event.kind)(event.node, event.subject, now)

    def add(self, when: float, kind: str, node: int, subject: object) -> None:
        """Schedule an event."""
        self.serial += 1
        event = _Event(
            kind=kind,
            node=node % len(self.states),
            subject=subject,
        )
        heapq.heappush(self.events, (when, self.serial, event))

    def arrive(
        self, node: int, fingerprint: ids.Fingerprint, now: float
    ) -> None:
        """Start, hold or refuse a request; skip a server that is down."""
        if self.up_at[node] > now:
            self.add(now, 'arrive', node + 1, fingerprint)
            return
        self.serial += 1
        exchange = ids.ExchangeId(self.serial)
        start = quarantine.StartRequested(
            exchange=exchange, fingerprint=fingerprint
        )
        decision = self.decide(node, start, now)
        if decision == quarantine.Refuse():
            self.refused.append(fingerprint)
        elif decision == quarantine.Hold():
            self.held[node].append(fingerprint)
        else:
            self.running[node][exchange] = fingerprint
            if fingerprint == _POISON:
                self.add(now + _CRASH_DELAY_S, 'crash', node, exchange)
            else:
                service = self.trace['neighbour_service']
                self.add(now + service, 'finish', node, exchange)

    def finish(self, node: int, exchange: ids.ExchangeId, now: float) -> None:
        """Complete a request and retry the held ones."""
        fingerprint = self.running[node].pop(exchange, None)
        if fingerprint is None:
            return
        self.finished.add(fingerprint)
        completed = quarantine.Completed(
            exchange=exchange, fingerprint=fingerprint
        )
        self.decide(node, completed, now)
        held = self.held[node]
        self.held[node] = []
        for waiting in held:
            self.arrive(node, waiting, now)

    def crash(self, node: int, exchange: ids.ExchangeId, now: float) -> None:
        """Crash a backend server; other requests are resent at once."""
        if exchange not in self.running[node]:
            return
        self.crashes += 1
        in_flight = self.running[node]
        self.running[node] = {}
        self.up_at[node] = now + self.trace['restart']
        crashed = quarantine.BackendCrashed(
            crash_id=f'{node}/{self.crashes}',
            in_flight=in_flight,
        )
        self.decide(node, crashed, now)
        held = self.held[node]
        self.held[node] = []
        for fingerprint in (*in_flight.values(), *held):
            if fingerprint != _POISON:
                self.add(now, 'arrive', node + 1, fingerprint)

    def report(self, node: int, message: object, now: float) -> None:
        """Deliver a report of another owner."""
        self.decide(node, message, now)

    def decide(self, node: int, event: object, now: float) -> object:
        """Return the decision on an event; send the reports to other owners."""
        if not self.quarantine_enabled:
            return quarantine.Permit()
        verdict = None
        for decision in quarantine.decide(event, self.states[node], now):
            if isinstance(decision, quarantine.Announce):
                self.announce(node, decision.message, now)
            else:
                verdict = decision
        return verdict

    def announce(self, node: int, message: object, now: float) -> None:
        """Send a report to all other owners with the delay of the trace."""
        for other in range(len(self.states)):
            if other != node:
                later = now + self.trace['report_delay']
                self.add(later, 'report', other, message)
