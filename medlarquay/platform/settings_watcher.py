"""Task that reloads the settings file on SIGHUP."""

import dataclasses
import functools
import signal
from types import FrameType

from twisted.internet import interfaces

from medlarquay import errors, events, telemetry
from medlarquay.platform import platform_settings, settings_file
from medlarquay.tasks import task

__all__ = ('SettingsWatcher',)


class SettingsWatcher(task.Task):
    """Reloads the settings file on SIGHUP and logs which fields changed.

    Parameters
    ----------
    path : str
        Path of the settings file.
    current : PlatformSettings
        Settings in force.

    Notes
    -----
    Without a handler SIGHUP would end the process. Addresses and ports
    cannot change under open connections, so a change takes effect at the
    next start.
    """

    def __init__(
        self,
        *,
        path: str,
        current: platform_settings.PlatformSettings,
    ) -> None:
        super().__init__(name='settings')
        self._path = path
        self._current = current

    def watch(self, reactor: interfaces.IReactorFromThreads) -> None:
        """Install the SIGHUP handler; call after the reactor has started."""
        handler = functools.partial(_post_reload, reactor, self)
        signal.signal(signal.SIGHUP, handler)

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def reload(self) -> None:
        """Read the file and log the fields that differ from those in force."""
        try:
            reloaded = settings_file.read_settings(self._path)
        except errors.SettingError as failure:
            self._log.warning('settings stay as they are: {}', failure)
            return
        changed = [
            field.name
            for field in dataclasses.fields(reloaded)
            if getattr(reloaded, field.name)
            != getattr(self._current, field.name)
        ]
        self._log.info(
            telemetry.format_fields(
                reload='done',
                changed=','.join(changed) or None,
                in_force='from_next_start' if changed else 'now',
            ),
        )


def _post_reload(
    reactor: interfaces.IReactorFromThreads,
    watcher: SettingsWatcher,
    number: int,
    frame: FrameType | None,
) -> None:
    # The signal may interrupt a task at any point, so the handler only
    # schedules the message.
    reactor.callFromThread(watcher.post, events.ReloadRequested())


@functools.singledispatch
def _handle(message: object, watcher: SettingsWatcher) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _reload(message: events.ReloadRequested, watcher: SettingsWatcher) -> None:
    watcher.reload()
