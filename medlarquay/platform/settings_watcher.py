"""The task that reads the settings file again."""

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
    """Reads the settings file again on SIGHUP and logs what changed.

    Parameters
    ----------
    path : str
        Settings file.
    own : PlatformSettings
        Settings in force.

    Notes
    -----
    Without a handler the signal would end the process. Addresses and ports
    cannot change under open connections, so a change is in force from the
    next start.
    """

    def __init__(
        self,
        *,
        path: str,
        own: platform_settings.PlatformSettings,
    ) -> None:
        super().__init__(name='settings')
        self._path = path
        self._own = own

    def watch(self, reactor: interfaces.IReactorFromThreads) -> None:
        """Take SIGHUP; call it after the reactor has started."""
        handler = functools.partial(_post, reactor, self)
        signal.signal(signal.SIGHUP, handler)

    def receive(self, message: object) -> None:
        """Handle one message."""
        _handle(message, self)

    def reload(self) -> None:
        """Read the file and log the fields that differ."""
        try:
            found = settings_file.read_settings(self._path)
        except errors.SettingError as failure:
            self._log.warning('settings stay as they are: {}', failure)
            return
        changed = [
            field.name
            for field in dataclasses.fields(found)
            if getattr(found, field.name) != getattr(self._own, field.name)
        ]
        self._log.info(
            telemetry.format_fields(
                reload='done',
                changed=','.join(changed) or None,
                in_force='from_next_start' if changed else 'now',
            ),
        )


def _post(
    reactor: interfaces.IReactorFromThreads,
    watcher: SettingsWatcher,
    number: int,
    frame: FrameType | None,
) -> None:
    # The handler may interrupt a task at any point.
    reactor.callFromThread(watcher.post, events.ReloadRequested())


@functools.singledispatch
def _handle(message: object, watcher: SettingsWatcher) -> None:
    raise TypeError(f'unexpected message {type(message).__name__}')


@_handle.register
def _reload(message: events.ReloadRequested, watcher: SettingsWatcher) -> None:
    watcher.reload()
