"""Test double of a backend server."""

import argparse
import collections
import dataclasses
import functools
import json
import os

from twisted.internet import interfaces

from medlarquay.testing import (
    backend_job,
    backend_reports,
    backend_settings,
    build_job,
    chain_caller,
    http_exchange,
    run_log,
    serving,
)

__all__ = ('BackendServer',)

_POISON = '/poison'
_CRASH_EXIT_CODE = 70
_CHAIN = 'x-chain'


class BackendServer:
    """Runs requests in slots, records them and injects faults on request.

    A request may state its service time in ``x-service-ms`` or in the query
    (``service_ms``), and the size of its answer in the query (``bytes``). A
    target that contains ``/poison`` ends the process at the end of its
    service time. ``x-chain`` lists hosts that are called one after the other
    through the node of this backend server. Control pages are under ``/-/``:
    ``record``, ``health``, ``load`` and ``counts`` are read; ``settings``
    accepts fields of ``BackendSettings`` by ``PUT``.

    Parameters
    ----------
    reactor : IReactorTime
        Runs the timers of service times and deadlines.
    name : str
        Name of the backend server, sent as ``x-backend``.
    settings : BackendSettings
        Initial behaviour.
    via : str
        ``host:port`` of the node that calls to chained hosts go through.
    quiet : bool
        Whether the record is kept in memory only instead of also printed.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        name: str,
        settings: backend_settings.BackendSettings,
        via: str = '',
        quiet: bool = False,
    ) -> None:
        self.settings = settings
        self.counts: collections.Counter[str] = collections.Counter()
        self._reactor = reactor
        self._name = name
        self._log = run_log.RunLog(quiet=quiet)
        self._chain = chain_caller.ChainCaller(reactor=reactor, via=via)
        self._running: set[backend_job.BackendJob] = set()
        self._queue: collections.deque[backend_job.BackendJob] = (
            collections.deque()
        )
        self._reports = backend_reports.BackendReports()
        self._started_at = reactor.seconds()

    def handle(self, exchange: http_exchange.HttpExchange) -> None:
        """Serve a control page, or run, queue or shed a request."""
        if exchange.target.startswith('/-/'):
            self._handle_control(exchange)
            return
        self.counts['received'] += 1
        current = self.settings
        if current.draining or current.failing:
            self._shed(exchange)
        elif len(self._running) < current.slots:
            self._start(self._build_job(exchange))
        elif len(self._queue) < current.queue_limit:
            self._enqueue(self._build_job(exchange))
        else:
            self._shed(exchange)

    def _handle_control(self, exchange: http_exchange.HttpExchange) -> None:
        now = self._reactor.seconds()
        match exchange.target.split('/')[2]:
            case 'record':
                exchange.answer(self._log.encode())
            case 'counts':
                exchange.answer(json.dumps(self.counts).encode())
            case 'health':
                health = self._reports.health(now=now, settings=self.settings)
                exchange.answer(health.encode())
            case 'load':
                load = self._reports.load(now=now, settings=self.settings)
                exchange.answer(str(load).encode())
            case 'settings':
                fields = json.loads(exchange.body)
                self.settings = dataclasses.replace(self.settings, **fields)
                exchange.answer()
            case _:
                exchange.answer(status=404)

    def _shed(self, exchange: http_exchange.HttpExchange) -> None:
        self.counts['shed'] += 1
        exchange.answer(status=503, headers={'Medlarquay-Shed': '1'})

    def _build_job(
        self,
        exchange: http_exchange.HttpExchange,
    ) -> backend_job.BackendJob:
        job = build_job.build_job(
            exchange,
            settings=self.settings,
            started_at=self._started_at,
            now=self._reactor.seconds(),
        )
        exchange.on_disconnect = functools.partial(self._cancel, job)
        return job

    def _enqueue(self, job: backend_job.BackendJob) -> None:
        self._queue.append(job)
        job.timer = self._reactor.callLater(
            max(0, job.deadline - self._reactor.seconds()),
            self._expire_queued,
            job,
        )

    def _expire_queued(self, job: backend_job.BackendJob) -> None:
        self._queue.remove(job)
        self._shed(job.exchange)

    def _start(self, job: backend_job.BackendJob) -> None:
        _stop_timer(job)
        job.entry = self._log.start(job.exchange)
        self._running.add(job)
        self._reports.add(
            now=self._reactor.seconds(),
            running=len(self._running),
            settings=self.settings,
        )
        remaining_s = job.deadline - self._reactor.seconds()
        if remaining_s < job.service_s:
            job.timer = self._reactor.callLater(
                max(0, remaining_s),
                self._expire,
                job,
            )
        elif job.service_s:
            job.timer = self._reactor.callLater(
                job.service_s,
                self._complete,
                job,
            )
        else:
            self._complete(job)

    def _complete(self, job: backend_job.BackendJob) -> None:
        if _POISON in job.exchange.target:
            # Exit without cleanup, so that the kernel resets every connection
            # as after a real crash.
            os._exit(_CRASH_EXIT_CODE)  # noqa: SLF001, WPS437
        if _CHAIN in job.exchange.headers:
            self._chain.call(job, functools.partial(self._answer_chained, job))
            return
        size = int(build_job.parse_query(job.exchange.target).get('bytes', 0))
        self._finish(job, 'completed')
        job.exchange.answer(
            b'x' * size if size else job.exchange.target.encode(),
            headers=self._answer_headers(job),
        )

    def _answer_chained(
        self,
        job: backend_job.BackendJob,
        status: int,
        headers: dict[str, str],
    ) -> None:
        if job not in self._running:
            return
        self._finish(job, 'completed')
        job.exchange.answer(
            status=status,
            headers={**self._answer_headers(job), **headers},
        )

    def _expire(self, job: backend_job.BackendJob) -> None:
        self._finish(job, 'expired')
        job.exchange.answer(status=504, headers=self._answer_headers(job))

    def _cancel(self, job: backend_job.BackendJob) -> None:
        self.counts['cancelled'] += 1
        if job.entry is None:
            _stop_timer(job)
            self._queue.remove(job)
        else:
            self._finish(job, 'cancelled')

    def _finish(self, job: backend_job.BackendJob, state: str) -> None:
        _stop_timer(job)
        self._running.discard(job)
        if job.entry is not None:
            self._log.finish(job.entry, state)
        self._reports.add(
            now=self._reactor.seconds(),
            running=len(self._running),
            settings=self.settings,
        )
        while self._queue and len(self._running) < self.settings.slots:
            self._start(self._queue.popleft())

    def _answer_headers(self, job: backend_job.BackendJob) -> dict[str, str]:
        request = job.exchange.headers.get('x-request-id', '')
        return {'x-backend': self._name, 'x-request-id': request}


def _stop_timer(job: backend_job.BackendJob) -> None:
    if job.timer is not None and job.timer.active():
        job.timer.cancel()


def main() -> None:
    """Run the backend server double as a program."""
    from twisted.internet import reactor  # noqa: PLC0415

    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--name', required=True)
    parser.add_argument('--via', default='')
    parser.add_argument('--quiet', action='store_true')
    parser.add_argument('--settings', type=json.loads, default={})
    arguments = parser.parse_args()
    server = BackendServer(
        reactor=reactor,
        name=arguments.name,
        settings=backend_settings.BackendSettings(**arguments.settings),
        via=arguments.via,
        quiet=arguments.quiet,
    )
    serving.serve(reactor=reactor, port=arguments.port, handle=server.handle)


if __name__ == '__main__':
    main()
