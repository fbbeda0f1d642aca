"""Health and load reports of the backend server double."""

from medlarquay.testing import backend_settings, report_history

__all__ = ('BackendReports',)

_MS_PER_SECOND = 1000


class BackendReports:
    """Reports health and load with the lag or values of the settings."""

    def __init__(self) -> None:
        self._history = report_history.ReportHistory()

    def add(
        self,
        *,
        now: float,
        running: int,
        settings: backend_settings.BackendSettings,
    ) -> None:
        """Record the current health and load."""
        health = 'draining' if settings.draining else 'up'
        self._history.add(now=now, health=health, load=running)

    def health(
        self,
        *,
        now: float,
        settings: backend_settings.BackendSettings,
    ) -> str:
        """Return the health to report: the configured or the lagged one."""
        if settings.reported_health:
            return settings.reported_health
        return self._history.at(now - _lag_s(settings))[0]

    def load(
        self,
        *,
        now: float,
        settings: backend_settings.BackendSettings,
    ) -> int:
        """Return the load to report: the configured or the lagged one."""
        if settings.reported_load >= 0:
            return settings.reported_load
        return self._history.at(now - _lag_s(settings))[1]


def _lag_s(settings: backend_settings.BackendSettings) -> float:
    return settings.report_lag_ms / _MS_PER_SECOND
