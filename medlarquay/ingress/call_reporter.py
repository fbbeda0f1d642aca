"""Counts and records of what callers were told."""

import enum
import functools
from collections.abc import Callable

from medlarquay import events, ids, states, telemetry
from medlarquay.ingress import ingress_call

__all__ = ('CallReporter',)


class CallReporter:
    """Counts refusals, retries and drops, and records what callers were told.

    Parameters
    ----------
    counters : Counters
        Counters of the node.
    records : RecordLog
        Call records of the node.
    wall_clock : callable
        Returns Unix time in seconds.
    """

    def __init__(
        self,
        *,
        counters: telemetry.Counters,
        records: telemetry.RecordLog,
        wall_clock: Callable[[], float],
    ) -> None:
        self._counters = counters
        self._records = records
        self._wall_clock = wall_clock

    @property
    def wall_clock(self) -> Callable[[], float]:
        """Clock of the records, Unix time in seconds."""
        return self._wall_clock

    def count(self, member: enum.Enum) -> None:
        """Count one event."""
        self._counters.increment(member)

    def told(
        self,
        call: ingress_call.IngressCall,
        answer: events.AnswerReady,
        outcome: states.Outcome,
        reason: states.RefusalReason | None,
    ) -> None:
        """Record what the caller of a call was told.

        Parameters
        ----------
        call : IngressCall
            Call.
        answer : AnswerReady
            Answer.
        outcome : Outcome
            Outcome that the answer states.
        reason : RefusalReason or None
            None if a backend server made the answer.
        """
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

    def record_refusal(
        self,
        message: events.RequestReceived | events.RequestRejected,
        answer: events.AnswerReady,
        reason: states.RefusalReason,
    ) -> None:
        """Record a refusal before a route and its parameters were known."""
        self.count(reason)
        method, target = _request_line(message)
        self._records.append(
            telemetry.CallRecord(
                recorded_at=self._wall_clock(),
                side=states.RecordSide.INGRESS,
                team=ids.TeamName(''),
                service=ids.ServiceName(''),
                method=method,
                target=target,
                request_key=None,
                outcome=states.Outcome.NOT_RUN,
                status=answer.status,
                reason=reason,
            ),
        )


@functools.singledispatch
def _request_line(message: object) -> tuple[bytes, bytes]:
    return b'', b''


@_request_line.register
def _received(message: events.RequestReceived) -> tuple[bytes, bytes]:
    return message.method, message.target
