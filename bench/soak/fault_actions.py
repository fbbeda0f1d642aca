"""Injection and removal of each type of fault."""

import functools
import signal
from collections.abc import Mapping
from types import MappingProxyType

from bench.soak import faults, node_supervisor, topology

__all__ = ('begin', 'finish')

_ADDED_DELAY_MS = 300
_BASE_DELAY_MS = 2

_LINK_HARMS: Mapping[faults.LinkHarm, dict[str, float | bool]] = (
    MappingProxyType({
        faults.LinkHarm.DELAYED: {'delay_ms': _ADDED_DELAY_MS},
        faults.LinkHarm.CUT_OUT: {'hold_out': True},
        faults.LinkHarm.CUT_IN: {'hold_in': True},
        faults.LinkHarm.SILENT: {'hold_out': True, 'hold_in': True},
    })
)
_LINK_NORMAL = MappingProxyType({
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
_SOURCE_NORMAL = MappingProxyType({
    'down': False,
    'slow_ms': 0,
    'behind': 0,
    'stale_every': 1,
    'list_lag_ms': 0,
})


@functools.singledispatch
def begin(
    fault: faults.Fault, supervisor: node_supervisor.NodeSupervisor
) -> None:
    """Inject a fault.

    Raises
    ------
    TypeError
        If no action is registered for the type of the fault.
    """
    raise TypeError(f'unexpected fault {type(fault).__name__}')


@functools.singledispatch
def finish(
    fault: faults.Fault, supervisor: node_supervisor.NodeSupervisor
) -> None:
    """Remove a fault; by default there is nothing to undo."""


@begin.register
def _request_node_stop(
    fault: faults.PlannedStop, supervisor: node_supervisor.NodeSupervisor
) -> None:
    supervisor.request_stop(fault.name)


@begin.register
def _kill_node(
    fault: faults.NodeKill, supervisor: node_supervisor.NodeSupervisor
) -> None:
    supervisor.kill(fault.name)


@begin.register
def _pause_node(
    fault: faults.NodePause, supervisor: node_supervisor.NodeSupervisor
) -> None:
    supervisor.pause(fault.name)


@finish.register
def _resume_node(
    fault: faults.NodePause, supervisor: node_supervisor.NodeSupervisor
) -> None:
    supervisor.resume(fault.name)


@begin.register
@finish.register
def _step_clock(
    fault: faults.ClockStep, supervisor: node_supervisor.NodeSupervisor
) -> None:
    supervisor.step_clock(fault.name, ahead=fault.ahead)


@begin.register
def _pause_backend(
    fault: faults.BackendPause, supervisor: node_supervisor.NodeSupervisor
) -> None:
    process = supervisor.backend(fault.name)
    if process is not None:
        process.send_signal(signal.SIGSTOP)


@finish.register
def _resume_backend(
    fault: faults.BackendPause, supervisor: node_supervisor.NodeSupervisor
) -> None:
    process = supervisor.backend(fault.name)
    if process is not None:
        process.send_signal(signal.SIGCONT)


@begin.register
def _crash_backend(
    fault: faults.BackendCrash, supervisor: node_supervisor.NodeSupervisor
) -> None:
    process = supervisor.backend(fault.name)
    if process is not None:
        process.send_signal(signal.SIGKILL)


@finish.register
def _start_backend(
    fault: faults.BackendCrash, supervisor: node_supervisor.NodeSupervisor
) -> None:
    if supervisor.backend(fault.name) is None:
        failed_instance = supervisor.cluster.instances[fault.name]
        # Not awaited: its port is known in advance, and waiting until it
        # listens would delay all other steps.
        supervisor.cluster.start_backend(failed_instance, {})


@begin.register
def _harm_link(
    fault: faults.LinkFault, supervisor: node_supervisor.NodeSupervisor
) -> None:
    supervisor.cluster.change_link(fault.name, **_LINK_HARMS[fault.harm])


@finish.register
def _restore_link(
    fault: faults.LinkFault, supervisor: node_supervisor.NodeSupervisor
) -> None:
    supervisor.cluster.change_link(fault.name, **_LINK_NORMAL)


@begin.register
def _reset_links(
    fault: faults.Reset, supervisor: node_supervisor.NodeSupervisor
) -> None:
    supervisor.cluster.reset_links(fault.name)


@begin.register
def _harm_source(
    fault: faults.SourceFault, supervisor: node_supervisor.NodeSupervisor
) -> None:
    match fault.harm:
        case faults.SourceHarm.SILENT:
            supervisor.cluster.change_link('', hold_out=True, hold_in=True)
        case faults.SourceHarm.RESET:
            supervisor.cluster.reset_links('')
        case _:
            supervisor.cluster.harm_source(**_SOURCE_HARMS[fault.harm])


@finish.register
def _restore_source(
    fault: faults.SourceFault, supervisor: node_supervisor.NodeSupervisor
) -> None:
    supervisor.cluster.change_link('', **_LINK_NORMAL)
    supervisor.cluster.harm_source(**_SOURCE_NORMAL)


@begin.register
def _publish_document(
    fault: faults.Change, supervisor: node_supervisor.NodeSupervisor
) -> None:
    document = topology.build_document(fault.version)
    supervisor.cluster.publish_team(topology.TEAM, document)


@begin.register
def _publish_leaving(
    fault: faults.Leave, supervisor: node_supervisor.NodeSupervisor
) -> None:
    supervisor.cluster.publish_state(fault.name, 'leaving')


@finish.register
def _publish_live(
    fault: faults.Leave, supervisor: node_supervisor.NodeSupervisor
) -> None:
    supervisor.cluster.publish_state(fault.name, 'live')
