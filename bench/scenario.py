"""Load and cluster shared by the failure scenarios."""

import signal
import time

from bench import cluster, instance, load_runner, scenario_result
from medlarquay import testing

__all__ = ('Scenario',)

_TEAM = 'agency'
_DESK = 'editorial-desk'
_PORTAL = 'digest-portal'
_SERVICES = (_DESK, _PORTAL)
_ZONES = ('palermo-1', 'palermo-2', 'catania-1')
_SECONDS = 6
# A node accepts keys of callers only when it knows it was their home for
# the convergence bound (5 s) and the clock error bound (2 s).
_KEY_HORIZON_S = 7.5


class Scenario:
    """A cluster of six instances under a load of reads and writes.

    Parameters
    ----------
    running : Cluster
        Started cluster without instances.
    """

    def __init__(self, running: cluster.Cluster) -> None:
        self.running = running
        self._caller = ''
        self._until = time.monotonic()

    def prepare(self) -> None:
        """Start the instances and wait until they serve keyed requests."""
        self.running.publish_team(_TEAM, _document())
        self.running.add(
            instance.Instance(
                name=f'{service}-{number}',
                team=_TEAM,
                service=service,
                region=zone.partition('-')[0],
                data_centre=zone,
                slots=6,
            )
            for service in _SERVICES
            for number, zone in enumerate(_ZONES)
        )
        self.running.wait_ready([f'{name}.{_TEAM}' for name in _SERVICES])
        self._caller = self.running.start_caller()
        time.sleep(_KEY_HORIZON_S)

    def start(
        self,
        *extra: testing.LoadMix,
        without: str = '',
    ) -> None:
        """Start the load.

        Parameters
        ----------
        extra : LoadMix
            Further requests.
        without : str
            Instance whose node no caller uses.
        """
        plan = testing.LoadPlan(
            seed=11,
            seconds=_SECONDS,
            mixes=[*self._mixes(without), *extra],
        )
        self._until = load_runner.start_load(self._caller, plan)

    def finish(self) -> scenario_result.ScenarioResult:
        """Wait for the end of the load and return both records."""
        told = load_runner.finish_load(self._caller, self._until)
        return scenario_result.ScenarioResult(
            told=told,
            ran=self.running.runs(),
        )

    def signal_node(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a node."""
        node = self.running.instances[name].node
        if node is not None:
            node.send_signal(number)

    def signal_backend(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a backend server."""
        backend = self.running.instances[name].backend
        if backend is not None:
            backend.send_signal(number)

    def addresses(self, without: str = '') -> list[str]:
        """Return the caller addresses of the nodes."""
        return [
            one.caller_address
            for one in self.running.instances.values()
            if one.name != without
        ]

    def _mixes(self, without: str) -> list[testing.LoadMix]:
        nodes = self.addresses(without)
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
