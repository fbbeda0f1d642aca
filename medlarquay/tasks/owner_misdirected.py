"""Requests that reached another backend server than the one meant."""

from medlarquay import admission, events, states
from medlarquay.tasks import (
    owner_base,
    owner_job,
    owner_results,
    owner_starts,
)

__all__ = ('end_misdirected', 'is_misdirected')

_MISDIRECTED_STATUS = 421


def is_misdirected(
    message: events.BackendAnswered,
    owner: owner_base.OwnerBase,
) -> bool:
    """Return whether an answer says that another backend server was meant."""
    expects = owner.local_backend.names.expected_instance is not None
    return expects and message.status == _MISDIRECTED_STATUS


def end_misdirected(
    job: owner_job.OwnerJob, owner: owner_base.OwnerBase
) -> None:
    """Refuse a job whose request reached the wrong backend server.

    That backend server did not run it.
    """
    owner_results.notify_quarantine_stopped(job, owner)
    owner_results.refuse_job(job, states.RefusalReason.BACKEND_DOWN, owner)
    freed = admission.RequestCancelled(exchange=job.exchange)
    owner_starts.apply_admission_event(freed, owner)
    owner_starts.readmit_held(owner)
