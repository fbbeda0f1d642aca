"""Faults that the soak injects from outside the node processes."""

from bench.soak.faults.backend_crash import BackendCrash
from bench.soak.faults.backend_pause import BackendPause
from bench.soak.faults.change import Change
from bench.soak.faults.clock_step import ClockStep
from bench.soak.faults.fault import Fault
from bench.soak.faults.leave import Leave
from bench.soak.faults.link_fault import LinkFault
from bench.soak.faults.link_harm import LinkHarm
from bench.soak.faults.node_kill import NodeKill
from bench.soak.faults.node_pause import NodePause
from bench.soak.faults.planned_stop import PlannedStop
from bench.soak.faults.reset import Reset
from bench.soak.faults.source_fault import SourceFault
from bench.soak.faults.source_harm import SourceHarm

__all__ = (
    'BackendCrash',
    'BackendPause',
    'Change',
    'ClockStep',
    'Fault',
    'Leave',
    'LinkFault',
    'LinkHarm',
    'NodeKill',
    'NodePause',
    'PlannedStop',
    'Reset',
    'SourceFault',
    'SourceHarm',
)
