"""What happens in each failure scenario, and what must come of it."""

import signal
import time
from collections.abc import Callable, Mapping
from types import MappingProxyType

from bench import http_json, scenario, scenario_result
from medlarquay import testing

__all__ = ('SCENARIOS',)

_VICTIM = 'editorial-desk-1'
_BEFORE_S = 2
_PAUSE_S = 2.5
_DRAIN_S = 1
_STOP_S = 10
# Crashes of a request that its caller sends again; see section 4.5 of the
# design page.
_MAX_CRASHES = 2
_POISON_RESENDS = 6


def _kill_node(run: scenario.Scenario) -> scenario_result.ScenarioResult:
    """Kill a node; others go on, and calls at it are unknown."""
    run.start()
    time.sleep(_BEFORE_S)
    run.signal_node(_VICTIM, signal.SIGKILL)
    result = run.finish()
    result.check(_served_late(result), 'other nodes stopped serving')
    return result


def _kill_backend(run: scenario.Scenario) -> scenario_result.ScenarioResult:
    """Kill a backend server; requests in flight there are unknown."""
    run.start()
    time.sleep(_BEFORE_S)
    run.signal_backend(_VICTIM, signal.SIGKILL)
    result = run.finish()
    result.check(_served_late(result), 'other backend servers were not used')
    return result


def _pause_node(run: scenario.Scenario) -> scenario_result.ScenarioResult:
    """Pause a node with work in flight past every deadline; resume it."""
    run.start(without=_VICTIM)
    time.sleep(_BEFORE_S)
    run.signal_node(_VICTIM, signal.SIGSTOP)
    time.sleep(_PAUSE_S)
    run.signal_node(_VICTIM, signal.SIGCONT)
    result = run.finish()
    result.check(_served_late(result), 'other nodes stopped serving')
    return result


def _stop_node(run: scenario.Scenario) -> scenario_result.ScenarioResult:
    """Stop a node that no caller uses; nothing in flight is cut."""
    run.start(without=_VICTIM)
    time.sleep(_BEFORE_S)
    run.signal_node(_VICTIM, signal.SIGTERM)
    result = run.finish()
    node = run.running.instances[_VICTIM].node
    ended = node is not None and node.wait(_STOP_S)
    result.check(ended, 'the node did not end')
    _check_nothing_cut(result)
    return result


def _drain_backend(run: scenario.Scenario) -> scenario_result.ScenarioResult:
    """Drain a backend server by the instance list; nothing is cut."""
    run.start()
    time.sleep(_BEFORE_S)
    run.running.leave(_VICTIM)
    time.sleep(_DRAIN_S)
    url = f'http://{run.running.instances[_VICTIM].backend_address}/-/settings'
    http_json.request_json(url, {'draining': True})
    result = run.finish()
    _check_nothing_cut(result)
    return result


def _source_down(run: scenario.Scenario) -> scenario_result.ScenarioResult:
    """Take the source away; calls are served as before."""
    faults = f'{run.running.source_url}/-/faults'
    run.start()
    time.sleep(_BEFORE_S)
    http_json.request_json(faults, {'down': True})
    result = run.finish()
    http_json.request_json(faults, {'down': False})
    _check_nothing_cut(result)
    plain = [entry for entry in result.told if not entry.key]
    refused = [entry for entry in plain if entry.told != 'run']
    result.check(not refused, f'{len(refused)} calls without key not served')
    return result


def _poison(run: scenario.Scenario) -> scenario_result.ScenarioResult:
    """Send a request that crashes its backend server again and again."""
    poison = testing.LoadMix(
        name='poison',
        nodes=run.addresses(),
        host='editorial-desk.agency',
        rate=1,
        end_s=1,
        start_s=0.001,
        path='/poison',
        service_ms=30,
        resends=_POISON_RESENDS,
    )
    run.start(poison)
    result = run.finish()
    crashes = sum(
        1
        for one in run.running.instances.values()
        if one.backend is not None and not one.backend.running
    )
    print(f'poison_crashes={crashes}')
    result.check(crashes, 'the poison request was not sent')
    result.check(crashes <= _MAX_CRASHES, f'{crashes} backend servers crashed')
    return result


def _check_nothing_cut(result: scenario_result.ScenarioResult) -> None:
    cut = [entry for entry in result.told if 'unknown' in entry.outcomes]
    result.check(not cut, f'{len(cut)} requests were cut')
    stopped = [entry for entry in result.ran if entry.state != 'completed']
    result.check(not stopped, f'{len(stopped)} runs did not complete')


def _served_late(result: scenario_result.ScenarioResult) -> bool:
    """Return whether most of the last quarter of the requests were run."""
    told = sorted(result.told, key=lambda entry: entry.sent_at)
    late = told[-len(told) // 4 :]
    served = sum(1 for entry in late if entry.told == 'run')
    return served * 2 > len(late)


SCENARIOS: Mapping[
    str,
    Callable[[scenario.Scenario], scenario_result.ScenarioResult],
] = MappingProxyType({
    'kill_node': _kill_node,
    'kill_backend': _kill_backend,
    'pause_node': _pause_node,
    'stop_node': _stop_node,
    'drain_backend': _drain_backend,
    'source_down': _source_down,
    'poison': _poison,
})
