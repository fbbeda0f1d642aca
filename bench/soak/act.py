"""What each fault does when it begins and when it ends."""

import functools
import signal
from collections.abc import Mapping
from types import MappingProxyType

from bench.soak import faults, soak, topology

__all__ = ('begin', 'finish')

_DELAY_MS = 300
_BASE_DELAY_MS = 2

_LINK_HARMS: Mapping[faults.LinkHarm, dict[str, float | bool]] = (
    MappingProxyType({
        faults.LinkHarm.DELAYED: {'delay_ms': _DELAY_MS},
        faults.LinkHarm.CUT_OUT: {'hold_out': True},
        faults.LinkHarm.CUT_IN: {'hold_in': True},
        faults.LinkHarm.SILENT: {'hold_out': True, 'hold_in': True},
    })
)
_LINK_SOUND = MappingProxyType({
    'delay_ms': _BASE_DELAY_MS,
    'hold_out': False,
    'hold_in': False,
})
_SOURCE_HARMS: Mapping[faults.SourceHarm, dict[str, float | bool]] = (
    MappingProxyType({
        faults.SourceHarm.DOWN: {'down': True},
        faults.SourceHarm.SLOW: {'slow_ms': 700},
        faults.SourceHarm.STALE: {'behind': 2, 'stale_every': 2},
        faults.SourceHarm.LATE_LIST: {'list_lag_ms': 1500},
    })
)
_SOURCE_SOUND = MappingProxyType({
    'down': False,
    'slow_ms': 0,
    'behind': 0,
    'stale_every': 1,
    'list_lag_ms': 0,
})


@functools.singledispatch
def begin(fault: faults.Fault, running: soak.Soak) -> None:
    """Inject a fault."""
    raise TypeError(f'unexpected fault {type(fault).__name__}')


@functools.singledispatch
def finish(fault: faults.Fault, running: soak.Soak) -> None:
    """Remove a fault; most need nothing."""


@begin.register
def _stop(fault: faults.PlannedStop, running: soak.Soak) -> None:
    running.ask_stop(fault.name)


@begin.register
def _kill(fault: faults.NodeKill, running: soak.Soak) -> None:
    running.kill(fault.name)


@begin.register
def _pause(fault: faults.NodePause, running: soak.Soak) -> None:
    running.pause(fault.name)


@finish.register
def _resume(fault: faults.NodePause, running: soak.Soak) -> None:
    running.resume(fault.name)


@begin.register
def _pause_backend(fault: faults.BackendPause, running: soak.Soak) -> None:
    process = running.backend(fault.name)
    if process is not None:
        process.send_signal(signal.SIGSTOP)


@finish.register
def _resume_backend(fault: faults.BackendPause, running: soak.Soak) -> None:
    process = running.backend(fault.name)
    if process is not None:
        process.send_signal(signal.SIGCONT)


@begin.register
def _crash_backend(fault: faults.BackendCrash, running: soak.Soak) -> None:
    process = running.backend(fault.name)
    if process is not None:
        process.send_signal(signal.SIGKILL)


@finish.register
def _start_backend(fault: faults.BackendCrash, running: soak.Soak) -> None:
    if running.backend(fault.name) is None:
        one = running.running.instances[fault.name]
        # Its port is known; waiting for it would hold up all other steps.
        running.running.start_backend(one, {})


@begin.register
def _harm_link(fault: faults.LinkFault, running: soak.Soak) -> None:
    running.running.change_link(fault.name, **_LINK_HARMS[fault.harm])


@finish.register
def _mend_link(fault: faults.LinkFault, running: soak.Soak) -> None:
    running.running.change_link(fault.name, **_LINK_SOUND)


@begin.register
def _reset(fault: faults.Reset, running: soak.Soak) -> None:
    running.running.reset_links(fault.name)


@begin.register
def _harm_source(fault: faults.SourceFault, running: soak.Soak) -> None:
    match fault.harm:
        case faults.SourceHarm.SILENT:
            running.running.change_link('', hold_out=True, hold_in=True)
        case faults.SourceHarm.RESET:
            running.running.reset_links('')
        case _:
            running.running.harm_source(**_SOURCE_HARMS[fault.harm])


@finish.register
def _mend_source(fault: faults.SourceFault, running: soak.Soak) -> None:
    running.running.change_link('', **_LINK_SOUND)
    running.running.harm_source(**_SOURCE_SOUND)


@begin.register
def _change(fault: faults.Change, running: soak.Soak) -> None:
    document = topology.build_document(fault.version)
    running.running.publish_team(topology.TEAM, document)


@begin.register
def _leave(fault: faults.Leave, running: soak.Soak) -> None:
    running.running.publish_state(fault.name, 'leaving')


@finish.register
def _come_back(fault: faults.Leave, running: soak.Soak) -> None:
    running.running.publish_state(fault.name, 'live')
