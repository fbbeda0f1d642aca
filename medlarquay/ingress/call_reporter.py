"""Counters, call records and log lines of answers to callers."""

import enum
import functools
import math
import time
from collections.abc import Callable

import logbook

from medlarquay import events, ids, states, telemetry
from medlarquay.ingress import answers, ingress_call, routing_table

__all__ = ('CallReporter',)

_LOG = logbook.Logger('ingress')
_MS_PER_SECOND = 1000


class CallReporter:
    """Counts, records and logs the answers that callers get.

    Parameters
    ----------
    counters : Counters
        Counters of the node.
    records : RecordLog
        Call records of the node.
    wall_clock : callable
        Returns Unix time in seconds.
    clock : callable
        Returns seconds on the monotonic clock.
    """

    def __init__(
        self,
        *,
        counters: telemetry.Counters,
        records: telemetry.RecordLog,
        wall_clock: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._counters = counters
        self._records = records
        self._wall_clock = wall_clock

    @property
    def wall_clock(self) -> Callable[[], float]:
        """Clock of the records, Unix time in seconds."""
        return self._wall_clock

    def count(self, member: enum.Enum) -> None:
        """Increment the counter of an event."""
        self._counters.increment(member)

    def record_answer(
        self,
        call: ingress_call.IngressCall,
        answer: events.AnswerReady,
        outcome: states.Outcome,
        reason: states.RefusalReason | None,
    ) -> None:
        """Record and log the answer to a call.

        Calls with an idempotent method that a backend server answered are
        logged, but get no call record.

        Parameters
        ----------
        call : IngressCall
            Call.
        answer : AnswerReady
            Answer.
        outcome : Outcome
            Outcome that the answer states.
        reason : RefusalReason or None
            Reason of a refusal or of an unknown outcome; None if a backend
            server answered.
        """
        first_byte = self._counters.histograms.first_byte
        first_byte.observe(self._clock() - call.received_at)
        self._log_end(call, outcome, reason, status=answer.status)
        if reason is not None:
            self.count(reason)
        elif call.parameters.idempotent:
            return
        key = call.parameters.key
        self._records.append(
            telemetry.CallRecord(
                recorded_at=self._wall_clock(),
                side=states.RecordSide.INGRESS,
                team=call.service.team,
                service=call.service.parameters.name,
                method=call.message.method,
                target=call.message.target,
                request_key=None if key is None else key.text,
                outcome=outcome,
                status=answer.status,
                reason=reason,
            ),
        )

    def record_unanswered(
        self,
        call: ingress_call.IngressCall,
        reason: states.Unanswered,
    ) -> None:
        """Count and log a call that ended without an answer to its caller."""
        self.count(reason)
        self._log_end(call, states.Outcome.UNKNOWN, reason)

    def record_retry_decision(
        self,
        call: ingress_call.IngressCall,
        reason: enum.Enum,
    ) -> None:
        """Count a retry decision and log it with the attempt that failed."""
        self.count(reason)
        if call.request_id:
            _LOG.info(
                telemetry.format_fields(
                    request=call.request_id,
                    decision=reason.value,
                    owner=call.node,
                    instance=call.instance,
                    attempts=len(call.tried),
                    sent_ms=self._age_ms(call.sent_at),
                ),
            )

    def record_refusal(
        self,
        message: events.RequestReceived | events.RequestRejected,
        answer: events.AnswerReady,
        reason: states.RefusalReason,
        table: routing_table.RoutingTable,
        request_id: str = '',
    ) -> None:
        """Record the refusal of a request that has no call in progress.

        Parameters
        ----------
        message : RequestReceived or RequestRejected
            Request.
        answer : AnswerReady
            Answer that refuses it.
        reason : RefusalReason
            Reason of the refusal.
        table : RoutingTable
            Snapshot by which it was refused.
        request_id : str
            Id that the caller gave the request; empty if it gave none.
        """
        self.count(reason)
        method, target = _request_line(message)
        _LOG.info(
            telemetry.format_fields(
                request=request_id or None,
                told=answer.status,
                outcome=answers.refusal_outcome(reason).value,
                reason=reason.value,
                target=target.decode('ascii', 'replace'),
                revision=table.revision,
                confirmed_ms=self._confirmed_ms(table.confirmed_at),
            ),
        )
        self._records.append(
            telemetry.CallRecord(
                recorded_at=self._wall_clock(),
                side=states.RecordSide.INGRESS,
                team=ids.TeamName(''),
                service=ids.ServiceName(''),
                method=method,
                target=target,
                request_key=None,
                outcome=answers.refusal_outcome(reason),
                status=answer.status,
                reason=reason,
            ),
        )

    def _age_ms(self, moment: float) -> int:
        return int((self._clock() - moment) * _MS_PER_SECOND)

    def _confirmed_ms(self, confirmed_at: float) -> int | None:
        return _milliseconds(self._clock(), confirmed_at)

    def _log_end(
        self,
        call: ingress_call.IngressCall,
        outcome: states.Outcome,
        reason: states.RefusalReason | states.Unanswered | None,
        *,
        status: int | None = None,
    ) -> None:
        if not call.request_id:
            return
        _LOG.info(
            telemetry.format_fields(
                request=call.request_id,
                told=status,
                outcome=outcome.value,
                reason=None if reason is None else reason.value,
                service=call.service.parameters.name,
                rank=call.parameters.rank.value,
                owner=call.node or None,
                instance=call.instance or None,
                attempts=len(call.tried),
                snapshot=call.generation,
                route=call.route.name,
                revision=call.revision,
                confirmed_ms=_milliseconds(call.received_at, call.confirmed_at),
                after_ms=self._age_ms(call.received_at),
                sent_ms=self._age_ms(call.sent_at) if call.tried else None,
                left_ms=-self._age_ms(call.parameters.deadline),
            ),
        )


def _milliseconds(now: float, moment: float) -> int | None:
    """Return the age of a moment; None if the moment is unknown."""
    if math.isinf(moment):
        return None
    return int((now - moment) * _MS_PER_SECOND)


@functools.singledispatch
def _request_line(message: object) -> tuple[bytes, bytes]:
    return b'', b''


@_request_line.register
def _received(message: events.RequestReceived) -> tuple[bytes, bytes]:
    return message.method, message.target
