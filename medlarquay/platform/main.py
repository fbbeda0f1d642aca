"""Entry point of a node on the users' platform."""

import gc
import os
import sys
import time

from medlarquay import errors, telemetry
from medlarquay.platform import imports, settings_file

__all__ = ('run',)

_BAD_SETTINGS = 2


def run() -> None:
    """Run a node until it is stopped."""
    imports.leave_out_tls()
    path = os.environ.get(settings_file.PATH_VARIABLE, '')
    try:
        own = settings_file.read_settings(path)
    except errors.SettingError as failure:
        sys.stderr.write(f'medlarquay: {failure}\n')
        sys.exit(_BAD_SETTINGS)
    stream = telemetry.BoundedStream(descriptor=sys.stdout.fileno())
    telemetry.set_up_logs(stream=stream, level='info')
    # The reactor is imported after the settings were checked.
    from twisted.internet import reactor  # noqa: PLC0415

    from medlarquay.daemon import node, signals  # noqa: PLC0415
    from medlarquay.platform import (  # noqa: PLC0415
        node_parts,
        settings_watcher,
    )

    node.start_node(
        reactor=reactor,
        settings=node_parts.node_settings_of(own),
        deployment=node_parts.deployment_of(
            own,
            reactor=reactor,
            clock=time.monotonic,
        ),
    )
    watcher = settings_watcher.SettingsWatcher(path=path, own=own)
    reactor.callWhenRunning(watcher.watch, reactor)
    _settle_memory()
    with stream.batching(reactor.callLater):
        signals.run_reactor(reactor)


def _settle_memory() -> None:
    # What was loaded so far stays, so later collections leave it out.
    gc.freeze()
    gc.enable()


if __name__ == '__main__':
    run()
