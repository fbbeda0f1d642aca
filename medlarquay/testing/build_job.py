"""Conversion of a request to a job of the backend server double."""

from urllib.parse import parse_qsl

from medlarquay.testing import backend_job, backend_settings, http_exchange

__all__ = ('build_job', 'parse_query')

_MS_PER_SECOND = 1000
_DEFAULT_TIMEOUT_MS = 60000


def build_job(
    exchange: http_exchange.HttpExchange,
    *,
    settings: backend_settings.BackendSettings,
    started_at: float,
    now: float,
) -> backend_job.BackendJob:
    """Return the job of a request, with its service time and deadline.

    Parameters
    ----------
    exchange : HttpExchange
        Request; may state its service time in ``x-service-ms`` or in the
        query.
    settings : BackendSettings
        Behaviour of the backend server: default service time, cold start.
    started_at, now : float
        Start of the backend server and current time, in reactor seconds.
    """
    timeout_ms = float(
        exchange.headers.get('request-timeout-ms', _DEFAULT_TIMEOUT_MS),
    )
    requested_ms = exchange.headers.get('x-service-ms')
    if requested_ms is None:
        requested_ms = parse_query(exchange.target).get('service_ms')
    service_s = float(requested_ms or settings.service_ms) / _MS_PER_SECOND
    return backend_job.BackendJob(
        exchange=exchange,
        service_s=service_s * _cold_factor(settings, now - started_at),
        deadline=now + timeout_ms / _MS_PER_SECOND,
    )


def parse_query(target: str) -> dict[str, str]:
    """Parse the query of a request target."""
    if '?' not in target:
        return {}
    return dict(parse_qsl(target.partition('?')[2]))


def _cold_factor(
    settings: backend_settings.BackendSettings,
    age_s: float,
) -> float:
    cold_s = settings.cold_start_ms / _MS_PER_SECOND
    if age_s >= cold_s:
        return 1
    return 1 + (settings.cold_factor - 1) * (1 - age_s / cold_s)
