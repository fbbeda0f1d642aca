"""A running soak."""

import signal
import time

from bench import managed_process
from bench.soak import node_life, soak_cluster, topology

__all__ = ('Soak',)

# A node that is not gone by then is killed, so that the soak ends.
_KILL_AFTER_S = 5
_RESTART_S = 0.3


class Soak:
    """Signals nodes, starts them again and notes their lifetimes.

    Parameters
    ----------
    running : SoakCluster
        Started cluster.
    """

    def __init__(self, *, running: soak_cluster.SoakCluster) -> None:
        self.running = running
        self.lives = [
            node_life.NodeLife(name=name, started_at=time.time())
            for name in running.instances
        ]
        self.current = {life.name: life for life in self.lives}
        self.began_at = time.time()
        self._paused_at: dict[str, float] = {}

    def node(self, name: str) -> managed_process.ManagedProcess | None:
        """Return the process of a node; None while it has none."""
        found = self.running.instances[name].node
        return found if found is not None and found.running else None

    def backend(self, name: str) -> managed_process.ManagedProcess | None:
        """Return the process of a backend server; None if it was killed."""
        found = self.running.instances[name].backend
        return found if found is not None and found.running else None

    def ask_stop(self, name: str) -> None:
        """Send SIGTERM to a node, also if it was asked before."""
        process = self.node(name)
        if process is not None:
            life = self.current[name]
            life.asked_at = life.asked_at or time.time()
            process.send_signal(signal.SIGTERM)

    def kill(self, name: str) -> None:
        """Send SIGKILL to a node."""
        process = self.node(name)
        if process is not None:
            life = self.current[name]
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
        began_at = self._paused_at.pop(name, None)
        if began_at is not None:
            self.current[name].pauses.append((began_at, time.time()))

    def watch(self) -> None:
        """Note the ends of nodes and start them again."""
        for life in tuple(self.current.values()):
            if life.gone_at:
                self._restart(life)
            elif self.node(life.name) is None:
                self._note_end(life)
            elif self._overdue(life):
                self.kill(life.name)

    def all_up(self) -> bool:
        """Return whether no node is gone or was asked to stop."""
        return not any(
            life.gone_at or life.asked_at or life.killed_at
            for life in self.current.values()
        )

    def _note_end(self, life: node_life.NodeLife) -> None:
        self.resume(life.name)
        life.gone_at = time.time()
        process = self.running.instances[life.name].node
        if process is not None:
            life.exit_code = process.exit_code or 0

    def _overdue(self, life: node_life.NodeLife) -> bool:
        if not life.asked_at or life.name in self._paused_at:
            return False
        now = time.time()
        passed_s = now - life.asked_at - life.paused_s(life.asked_at, now)
        return passed_s > topology.DRAIN_S + _KILL_AFTER_S

    def _restart(self, life: node_life.NodeLife) -> None:
        now = time.time()
        if now < life.gone_at + _RESTART_S:
            return
        begun = node_life.NodeLife(name=life.name, started_at=now)
        self.lives.append(begun)
        self.current[life.name] = begun
        self.running.start_node(self.running.instances[life.name])
