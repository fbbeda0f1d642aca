"""Cluster and load that all failure scenarios use."""

import signal
import time

from bench import cluster, instance, load_runner, scenario_result
from medlarquay import testing

__all__ = ('Scenario',)

_TEAM = 'agency'
_DESK = 'editorial-desk'
_PORTAL = 'digest-portal'
_SERVICES = (_DESK, _PORTAL)
_DATA_CENTRES = ('palermo-1', 'palermo-2', 'catania-1')
_SECONDS = 6
# A node accepts plain keys only once it knows that it has been their home for
# the convergence bound (5 s) plus the clock error bound (2 s).
_KEY_ACCEPTANCE_S = 7.5


class Scenario:
    """Cluster of six instances under a load of reads and writes.

    Parameters
    ----------
    running : Cluster
        Started cluster without instances.

    Attributes
    ----------
    cluster : Cluster
        The cluster.
    """

    def __init__(self, running: cluster.Cluster) -> None:
        self.cluster = running
        self._caller = ''
        self._give_up_at = time.monotonic()

    def prepare(self) -> None:
        """Start the instances and wait until they accept plain keys."""
        self.cluster.publish_team(_TEAM, _document())
        self.cluster.add(
            instance.Instance(
                name=f'{service}-{number}',
                team=_TEAM,
                service=service,
                region=data_centre.partition('-')[0],
                data_centre=data_centre,
                slots=6,
            )
            for service in _SERVICES
            for number, data_centre in enumerate(_DATA_CENTRES)
        )
        self.cluster.wait_ready([f'{name}.{_TEAM}' for name in _SERVICES])
        self._caller = self.cluster.start_caller()
        time.sleep(_KEY_ACCEPTANCE_S)

    def start(
        self,
        *extra: testing.LoadMix,
        excluded: str = '',
    ) -> None:
        """Start the load.

        Parameters
        ----------
        extra : LoadMix
            Additional requests.
        excluded : str
            Name of an instance whose node no caller uses.
        """
        plan = testing.LoadPlan(
            seed=11,
            seconds=_SECONDS,
            mixes=[*self._mixes(excluded), *extra],
        )
        self._give_up_at = load_runner.start_load(self._caller, plan)

    def finish(self) -> scenario_result.ScenarioResult:
        """Wait for the end of the load; return what was told and what ran."""
        caller_entries = load_runner.finish_load(self._caller, self._give_up_at)
        return scenario_result.ScenarioResult(
            caller_entries=caller_entries,
            run_entries=self.cluster.runs(),
        )

    def signal_node(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a node."""
        node = self.cluster.instances[name].node
        if node is not None:
            node.send_signal(signal_number)

    def signal_backend(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a backend server."""
        backend = self.cluster.instances[name].backend
        if backend is not None:
            backend.send_signal(signal_number)

    def addresses(self, excluded: str = '') -> list[str]:
        """Return the caller addresses of all nodes but the excluded one."""
        return [
            item.caller_address
            for item in self.cluster.instances.values()
            if item.name != excluded
        ]

    def _mixes(self, excluded: str) -> list[testing.LoadMix]:
        nodes = self.addresses(excluded)
        return [
            testing.LoadMix(
                name='approve',
                nodes=nodes,
                host=f'{_DESK}.{_TEAM}',
                rate=40,
                method='POST',
                path='/approve',
                rank='urgent',
                service_ms=40,
                keyed=True,
                resends=2,
            ),
            testing.LoadMix(
                name='note',
                nodes=nodes,
                host=f'{_DESK}.{_TEAM}',
                rate=20,
                method='POST',
                path='/note',
                service_ms=40,
            ),
            testing.LoadMix(
                name='read',
                nodes=nodes,
                host=f'{_PORTAL}.{_TEAM}',
                rate=40,
                path='/read',
                service_ms=20,
                resends=2,
            ),
        ]


def _document() -> dict[str, object]:
    return {
        'services': {name: {} for name in _SERVICES},
        'routes': [
            {'host': f'{name}.{_TEAM}', 'service': name, 'rank': 'urgent'}
            for name in _SERVICES
        ],
    }
