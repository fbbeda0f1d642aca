"""Log lines of the owner about the end of each request."""

import logbook

from medlarquay import states, telemetry
from medlarquay.tasks import owner_base, owner_job, waiting_caller

__all__ = ('log_end', 'log_refusal')

_LOG = logbook.Logger('owner')
_MS_PER_SECOND = 1000


def log_end(
    job: owner_job.OwnerJob,
    outcome: states.Outcome,
    owner: owner_base.OwnerBase,
    *,
    status: int | None = None,
    reason: states.RefusalReason | None = None,
) -> None:
    """Log the outcome of a request at this owner and its reason.

    Notes
    -----
    A request without an id is not logged, because its line could not be
    matched to a caller. Its run time is still observed in the histogram.
    """
    now = owner.now()
    if job.sent:
        owner.counters.histograms.run.observe(now - job.sent_at)
    request_id = owner.local_backend.names.request_id_of(job.request.headers)
    if not request_id:
        return
    started_at = job.sent_at if job.sent else now
    local = owner.local_instance
    _LOG.info(
        telemetry.format_fields(
            request=request_id,
            outcome=outcome.value,
            status=status,
            reason=None if reason is None else reason.value,
            rank=job.request.rank.value,
            instance=None if local is None else local.instance,
            waited_ms=_ms(started_at - job.arrived_at),
            ran_ms=_ms(now - started_at),
            left_ms=_ms(job.request.deadline - now),
            running=len(owner.admission.running),
            queued=len(owner.admission.queued_ranks),
        ),
    )


def log_refusal(
    caller: waiting_caller.WaitingCaller,
    reason: states.RefusalReason,
    owner: owner_base.OwnerBase,
) -> None:
    """Log a request that was refused on arrival."""
    if caller.request_id:
        _LOG.info(
            telemetry.format_fields(
                request=caller.request_id,
                outcome=states.Outcome.NOT_RUN.value,
                reason=reason.value,
                left_ms=_ms(caller.deadline - owner.now()),
            ),
        )


def _ms(seconds: float) -> int:
    return int(seconds * _MS_PER_SECOND)
