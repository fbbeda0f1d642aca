"""Test double of the callers: open-loop load generator with a record."""

import argparse
import collections
import dataclasses
import functools
import json
import random

from twisted.internet import interfaces

from medlarquay.testing import (
    caller_request,
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
# A node answers by the deadline; an answer later than this grace period
# counts as missing.
_GRACE_S = 3
_RESEND_DELAY_S = 0.2
_OUTCOME = 'medlarquay-outcome'
_SERVER_ERROR = 500


class Caller:
    """Sends requests at seeded times and records their outcomes.

    ``POST /-/run`` starts a load; its body holds the fields of ``LoadPlan``.
    ``GET /-/state`` returns whether the load is over and the number of stray
    answers, for which no request waited. ``GET /-/record`` returns the
    record.

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
            on_stray_answer=self._count_stray_answer,
        )
        self._stray_answers = 0
        self._arrivals: collections.deque[
            tuple[float, int, load_mix.LoadMix]
        ] = collections.deque()
        self._key_randomness = random.Random(0)  # noqa: S311
        self._seed = 0
        self._started_at = reactor.seconds()
        self._in_flight = 0

    def handle(self, exchange: http_exchange.HttpExchange) -> None:
        """Serve one request to a control page."""
        match exchange.target:
            case '/-/run':
                self._run(load_plan.parse_plan(exchange.body))
                exchange.answer()
            case '/-/state':
                over = not self._arrivals and not self._in_flight
                state = {'over': over, 'stray': self._stray_answers}
                exchange.answer(json.dumps(state).encode())
            case '/-/record':
                entries = [dataclasses.asdict(entry) for entry in self.record]
                exchange.answer(json.dumps(entries).encode())
            case _:
                exchange.answer(status=404)

    def _count_stray_answer(self) -> None:
        self._stray_answers += 1

    def _run(self, plan: load_plan.LoadPlan) -> None:
        self.record = []
        self._key_randomness = random.Random(plan.seed)  # noqa: S311
        self._seed = plan.seed
        self._arrivals.extend(plan.arrivals())
        self._started_at = self._reactor.seconds()
        self._send_due()

    def _send_due(self) -> None:
        elapsed_s = self._reactor.seconds() - self._started_at
        while self._arrivals and self._arrivals[0][0] <= elapsed_s:
            _, number, mix = self._arrivals.popleft()
            self._start_request(mix, number)
        if self._arrivals:
            self._reactor.callLater(
                max(0, self._arrivals[0][0] - elapsed_s),
                self._send_due,
            )

    def _start_request(self, mix: load_mix.LoadMix, number: int) -> None:
        request = caller_request.new_request(
            mix,
            number=number,
            seed=self._seed,
            randomness=self._key_randomness,
            now=self._reactor.seconds(),
        )
        self.record.append(request.entry)
        self._in_flight += 1
        self._send_attempt(request)

    def _send_attempt(self, request: caller_request.CallerRequest) -> None:
        mix = request.mix
        self._client.request(
            address=request.address,
            head=f'{mix.method} {mix.path}',
            headers=_headers(request),
            body=b'' if request.entry.idempotent else b'{}',
            timeout_s=mix.deadline_ms / _MS_PER_SECOND + _GRACE_S,
            deliver=functools.partial(self._on_answer, request),
        )

    def _on_answer(
        self,
        request: caller_request.CallerRequest,
        answer: client_answer.ClientAnswer,
    ) -> None:
        entry = request.entry
        outcome = _outcome(answer)
        entry.outcomes.append(outcome)
        entry.status = answer.status
        entry.reason = answer.headers.get('medlarquay-reason', '')
        entry.body_bytes = len(answer.body)
        if outcome == 'run':
            answered_request = answer.headers.get('x-request-id')
            entry.foreign = answered_request not in {None, entry.request}
        if request.may_resend:
            self._reactor.callLater(
                _RESEND_DELAY_S, self._send_attempt, request
            )
            return
        latency_s = self._reactor.seconds() - request.started_at
        entry.latency_ms = latency_s * _MS_PER_SECOND
        self._in_flight -= 1
        serving.print_line(json.dumps(dataclasses.asdict(entry)))


def _headers(request: caller_request.CallerRequest) -> dict[str, str]:
    mix = request.mix
    headers = {
        'Host': mix.host,
        'X-Request-Id': request.entry.request,
        'Request-Timeout-Ms': str(mix.deadline_ms),
    }
    if mix.service_ms:
        headers['X-Service-Ms'] = str(mix.service_ms)
    if mix.rank:
        headers['Medlarquay-Rank'] = mix.rank
    if mix.chain:
        headers['X-Chain'] = mix.chain
    if request.entry.key:
        headers['Idempotency-Key'] = request.entry.key
    return headers


def _outcome(answer: client_answer.ClientAnswer) -> str:
    """Classify an answer by the outcome header, or else by its status.

    Only nodes send the outcome header; backend servers do not.
    """
    if not answer.sent:
        return 'not-run'
    if answer.timed_out:
        return 'none'
    if not answer.status:
        return 'unknown'
    stated = answer.headers.get(_OUTCOME)
    return _outcome_without_node(answer) if stated is None else stated


def _outcome_without_node(answer: client_answer.ClientAnswer) -> str:
    """Classify an answer of a backend server or a plain proxy."""
    if 'medlarquay-shed' in answer.headers:
        return 'not-run'
    return 'unknown' if answer.status >= _SERVER_ERROR else 'run'


def main() -> None:
    """Run the caller double as a program."""
    from twisted.internet import reactor  # noqa: PLC0415

    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    arguments = parser.parse_args()
    serving.serve(
        reactor=reactor,
        port=arguments.port,
        handle=Caller(reactor=reactor).handle,
    )


if __name__ == '__main__':
    main()
