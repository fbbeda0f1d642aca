"""Test double of the callers: an open-loop load with a record."""

import argparse
import collections
import dataclasses
import functools
import json
import random

from twisted.internet import interfaces

from medlarquay.testing import (
    caller_attempt,
    client_answer,
    http_client,
    http_exchange,
    load_mix,
    load_plan,
    serving,
    told_entry,
)

__all__ = ('Caller',)

_MS_PER_SECOND = 1000
# A node answers at the deadline; later answers count as missing.
_GRACE_S = 3
_RESEND_DELAY_S = 0.2
_OUTCOME = 'medlarquay-outcome'
_SERVER_ERROR = 500


class Caller:
    """Sends requests at seeded times and records what it was told.

    ``POST /-/run`` starts a load (the fields of ``LoadPlan``), ``GET
    /-/state`` shows whether it is over and the number of answers that no
    request waited for, ``GET /-/record`` the record.

    Parameters
    ----------
    reactor : IReactorTCP
        Opens connections and runs timers.
    """

    def __init__(self, *, reactor: interfaces.IReactorTCP) -> None:
        self.record: list[told_entry.ToldEntry] = []
        self._reactor = reactor
        self._client = http_client.HttpClient(
            reactor=reactor,
            stray=self._count_stray,
        )
        self._stray = 0
        self._arrivals: collections.deque[
            tuple[float, int, load_mix.LoadMix]
        ] = collections.deque()
        self._keys = random.Random(0)  # noqa: S311
        self._seed = 0
        self._started_at = reactor.seconds()
        self._under_way = 0

    def handle(self, exchange: http_exchange.HttpExchange) -> None:
        """Serve one request."""
        match exchange.target:
            case '/-/run':
                self._run(load_plan.parse_plan(exchange.body))
                exchange.answer()
            case '/-/state':
                over = not self._arrivals and not self._under_way
                state = {'over': over, 'stray': self._stray}
                exchange.answer(json.dumps(state).encode())
            case '/-/record':
                entries = [dataclasses.asdict(entry) for entry in self.record]
                exchange.answer(json.dumps(entries).encode())
            case _:
                exchange.answer(status=404)

    def _count_stray(self) -> None:
        self._stray += 1

    def _run(self, plan: load_plan.LoadPlan) -> None:
        self.record = []
        self._keys = random.Random(plan.seed)  # noqa: S311
        self._seed = plan.seed
        self._arrivals.extend(plan.arrivals())
        self._started_at = self._reactor.seconds()
        self._send_due()

    def _send_due(self) -> None:
        passed = self._reactor.seconds() - self._started_at
        while self._arrivals and self._arrivals[0][0] <= passed:
            _, number, mix = self._arrivals.popleft()
            self._begin(mix, number)
        if self._arrivals:
            self._reactor.callLater(
                max(0, self._arrivals[0][0] - passed),
                self._send_due,
            )

    def _begin(self, mix: load_mix.LoadMix, number: int) -> None:
        attempt = caller_attempt.begin_attempt(
            mix,
            number=number,
            seed=self._seed,
            source=self._keys,
            now=self._reactor.seconds(),
        )
        self.record.append(attempt.entry)
        self._under_way += 1
        self._attempt(attempt)

    def _attempt(self, attempt: caller_attempt.CallerAttempt) -> None:
        mix = attempt.mix
        self._client.request(
            address=attempt.address,
            head=f'{mix.method} {mix.path}',
            headers=_headers(attempt),
            body=b'' if attempt.entry.idempotent else b'{}',
            timeout_s=mix.deadline_ms / _MS_PER_SECOND + _GRACE_S,
            deliver=functools.partial(self._answered, attempt),
        )

    def _answered(
        self,
        attempt: caller_attempt.CallerAttempt,
        answer: client_answer.ClientAnswer,
    ) -> None:
        entry = attempt.entry
        outcome = _outcome(answer)
        entry.outcomes.append(outcome)
        entry.status = answer.status
        entry.reason = answer.headers.get('medlarquay-reason', '')
        entry.body_bytes = len(answer.body)
        if outcome == 'run':
            found = answer.headers.get('x-request-id')
            entry.foreign = found not in {None, entry.request}
        if attempt.may_resend:
            self._reactor.callLater(_RESEND_DELAY_S, self._attempt, attempt)
            return
        passed_s = self._reactor.seconds() - attempt.started_at
        entry.latency_ms = passed_s * _MS_PER_SECOND
        self._under_way -= 1
        serving.print_line(json.dumps(dataclasses.asdict(entry)))


def _headers(attempt: caller_attempt.CallerAttempt) -> dict[str, str]:
    mix = attempt.mix
    headers = {
        'Host': mix.host,
        'X-Request-Id': attempt.entry.request,
        'Request-Timeout-Ms': str(mix.deadline_ms),
    }
    if mix.service_ms:
        headers['X-Service-Ms'] = str(mix.service_ms)
    if mix.rank:
        headers['Medlarquay-Rank'] = mix.rank
    if mix.chain:
        headers['X-Chain'] = mix.chain
    if attempt.entry.key:
        headers['Idempotency-Key'] = attempt.entry.key
    return headers


def _outcome(answer: client_answer.ClientAnswer) -> str:
    """Return what an answer tells; a plain backend server states nothing."""
    if not answer.sent:
        return 'not-run'
    if answer.timed_out:
        return 'none'
    if not answer.status:
        return 'unknown'
    stated = answer.headers.get(_OUTCOME)
    return _outcome_without_node(answer) if stated is None else stated


def _outcome_without_node(answer: client_answer.ClientAnswer) -> str:
    """Return what an answer of a backend server or plain proxy tells."""
    if 'medlarquay-shed' in answer.headers:
        return 'not-run'
    return 'unknown' if answer.status >= _SERVER_ERROR else 'run'


def main() -> None:
    """Serve until the process ends."""
    from twisted.internet import reactor  # noqa: PLC0415

    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    found = parser.parse_args()
    serving.serve(
        reactor=reactor,
        port=found.port,
        handle=Caller(reactor=reactor).handle,
    )


if __name__ == '__main__':
    main()
