"""Supervision of the node processes of a running soak."""

import signal
import time

from bench import managed_process
from bench.soak import node_life, soak_cluster, topology

__all__ = ('NodeSupervisor',)

# Time after the drain deadline after which a node is killed, so that the soak
# ends.
_KILL_AFTER_S = 5
_RESTART_DELAY_S = 0.3
# A signal that comes before the process handles it would end it.
_HANDLES_SIGNALS_AFTER_S = 3


class NodeSupervisor:
    """Signals nodes, restarts those that exited and records their lifetimes.

    Parameters
    ----------
    cluster : SoakCluster
        Cluster whose instances have been started.

    Attributes
    ----------
    cluster : SoakCluster
        The cluster.
    lifetimes : list of NodeLife
        Lifetimes of all node processes, in order of their start.
    current_lives : dict of NodeLife
        Lifetime of the latest process of each node, by name of the instance.
    began_at : float
        Unix time of its creation, which counts as the start of the load.
    """

    def __init__(self, *, cluster: soak_cluster.SoakCluster) -> None:
        self.cluster = cluster
        self.lifetimes = [
            node_life.NodeLife(name=name, started_at=time.time())
            for name in cluster.instances
        ]
        self.current_lives = {life.name: life for life in self.lifetimes}
        self.began_at = time.time()
        self._paused_at: dict[str, float] = {}

    def node(self, name: str) -> managed_process.ManagedProcess | None:
        """Return the running process of a node; None while it has none."""
        process = self.cluster.instances[name].node
        return process if process is not None and process.running else None

    def backend(self, name: str) -> managed_process.ManagedProcess | None:
        """Return the running process of a backend server; None if killed."""
        process = self.cluster.instances[name].backend
        return process if process is not None and process.running else None

    def request_stop(self, name: str) -> None:
        """Send SIGTERM to a node, also if it was already sent one."""
        process = self.node(name)
        if process is not None:
            life = self.current_lives[name]
            life.asked_at = life.asked_at or time.time()
            process.send_signal(signal.SIGTERM)

    def kill(self, name: str) -> None:
        """Send SIGKILL to a node."""
        process = self.node(name)
        if process is not None:
            life = self.current_lives[name]
            life.killed_at = life.killed_at or time.time()
            process.send_signal(signal.SIGKILL)

    def pause(self, name: str) -> None:
        """Send SIGSTOP to a node."""
        process = self.node(name)
        if process is not None:
            self._paused_at.setdefault(name, time.time())
            process.send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Send SIGCONT to a node."""
        process = self.node(name)
        if process is not None:
            process.send_signal(signal.SIGCONT)
        paused_at = self._paused_at.pop(name, None)
        if paused_at is not None:
            self.current_lives[name].pauses.append((paused_at, time.time()))

    def step_clock(self, name: str, *, ahead: bool) -> None:
        """Set the time of day of a node, or set it right again.

        Nothing happens to a process that has just started, whose time of day is
        right.
        """
        process = self.node(name)
        age_s = time.time() - self.current_lives[name].started_at
        if (
            process is not None
            and self.cluster.steps_clocks
            and age_s > _HANDLES_SIGNALS_AFTER_S
        ):
            process.send_signal(signal.SIGUSR2 if ahead else signal.SIGUSR1)

    def check_nodes(self) -> None:
        """Record exits, restart exited nodes and kill overdue ones."""
        for life in tuple(self.current_lives.values()):
            if life.gone_at:
                self._restart(life)
            elif self.node(life.name) is None:
                self._record_exit(life)
            elif self._is_overdue(life):
                self.kill(life.name)

    def all_nodes_up(self) -> bool:
        """Return whether no node has exited or was signalled to end."""
        return not any(
            life.gone_at or life.asked_at or life.killed_at
            for life in self.current_lives.values()
        )

    def _record_exit(self, life: node_life.NodeLife) -> None:
        self.resume(life.name)
        life.gone_at = time.time()
        process = self.cluster.instances[life.name].node
        if process is not None:
            life.exit_code = process.exit_code or 0

    def _is_overdue(self, life: node_life.NodeLife) -> bool:
        if not life.asked_at or life.name in self._paused_at:
            return False
        now = time.time()
        elapsed_s = now - life.asked_at - life.paused_s(life.asked_at, now)
        return elapsed_s > topology.DRAIN_S + _KILL_AFTER_S

    def _restart(self, life: node_life.NodeLife) -> None:
        now = time.time()
        if now < life.gone_at + _RESTART_DELAY_S:
            return
        new_life = node_life.NodeLife(name=life.name, started_at=now)
        self.lifetimes.append(new_life)
        self.current_lives[life.name] = new_life
        self.cluster.start_node(self.cluster.instances[life.name])
