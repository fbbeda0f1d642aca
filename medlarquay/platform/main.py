"""Entry point of a node on the users' platform."""

import gc
import os
import sys
import time

from medlarquay import errors, telemetry
from medlarquay.platform import settings_file
from medlarquay.startup import generated_code

__all__ = ('run',)

_EXIT_BAD_SETTINGS = 2


def run() -> None:
    """Run a node until it is stopped."""
    stream = telemetry.BoundedStream(descriptor=sys.stdout.fileno())
    telemetry.set_up_logs(stream=stream, level='info')
    path = os.environ.get(settings_file.PATH_VARIABLE, '')
    try:
        own_settings = settings_file.read_settings(path)
    except errors.SettingError as failure:
        sys.stderr.write(f'medlarquay: {failure}\n')
        sys.exit(_EXIT_BAD_SETTINGS)
    # Imported only now, so that a bad setting is reported without the cost.
    from medlarquay.daemon import node, node_reactor, signals  # noqa: PLC0415
    from medlarquay.platform import (  # noqa: PLC0415
        node_parts,
        settings_watcher,
    )

    reactor = node_reactor.load_reactor()
    node.start_node(
        reactor=reactor,
        settings=node_parts.build_node_settings(own_settings),
        deployment=node_parts.build_deployment(
            own_settings,
            reactor=reactor,
            clock=time.monotonic,
        ),
    )
    watcher = settings_watcher.SettingsWatcher(path=path, current=own_settings)
    reactor.callWhenRunning(watcher.watch, reactor)
    _freeze_loaded_objects()
    with stream.batching(reactor.callLater):
        signals.run_reactor(reactor)
    signals.end_process()


def _freeze_loaded_objects() -> None:
    generated_code.forget()
    # Objects loaded so far live as long as the process; frozen, they are left
    # out of later garbage collections.
    gc.freeze()
    gc.enable()


if __name__ == '__main__':
    run()
