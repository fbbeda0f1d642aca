"""Failure scenarios, each with the checks of its outcome.

A function of this module injects its failure under load and returns what
callers and backend servers recorded, with the checks that did not hold.
"""

import signal
import time
from collections.abc import Callable, Mapping
from types import MappingProxyType

from bench import http_json, scenario, scenario_result
from medlarquay import testing

__all__ = ('SCENARIOS',)

_AFFECTED_INSTANCE = 'editorial-desk-1'
_WARM_UP_S = 2
_PAUSE_S = 2.5
_DRAIN_S = 1
_STOP_TIMEOUT_S = 10
# Backend servers that one request may crash when its caller sends it again;
# see section 4.5 of the design page.
_MAX_CRASHES = 2
_POISON_RESENDS = 6


def _kill_node(run: scenario.Scenario) -> scenario_result.ScenarioResult:
    """Kill a node.

    Other nodes must continue to serve; calls in flight at the killed node have
    an unknown outcome.
    """
    run.start()
    time.sleep(_WARM_UP_S)
    run.signal_node(_AFFECTED_INSTANCE, signal.SIGKILL)
    result = run.finish()
    result.check(_still_serves(result), 'other nodes stopped serving')
    return result


def _kill_backend(run: scenario.Scenario) -> scenario_result.ScenarioResult:
    """Kill a backend server.

    Other backend servers must be used; requests in flight at the killed one
    have an unknown outcome.
    """
    run.start()
    time.sleep(_WARM_UP_S)
    run.signal_backend(_AFFECTED_INSTANCE, signal.SIGKILL)
    result = run.finish()
    result.check(_still_serves(result), 'other backend servers were not used')
    return result


def _pause_node(run: scenario.Scenario) -> scenario_result.ScenarioResult:
    """Pause a node until all calls in flight there have expired; resume it."""
    run.start(excluded=_AFFECTED_INSTANCE)
    time.sleep(_WARM_UP_S)
    run.signal_node(_AFFECTED_INSTANCE, signal.SIGSTOP)
    time.sleep(_PAUSE_S)
    run.signal_node(_AFFECTED_INSTANCE, signal.SIGCONT)
    result = run.finish()
    result.check(_still_serves(result), 'other nodes stopped serving')
    return result


def _stop_node(run: scenario.Scenario) -> scenario_result.ScenarioResult:
    """Stop a node that no caller uses; no call in flight may be interrupted."""
    run.start(excluded=_AFFECTED_INSTANCE)
    time.sleep(_WARM_UP_S)
    run.signal_node(_AFFECTED_INSTANCE, signal.SIGTERM)
    result = run.finish()
    node = run.cluster.instances[_AFFECTED_INSTANCE].node
    ended = node is not None and node.wait(_STOP_TIMEOUT_S)
    result.check(ended, 'the node did not end after SIGTERM')
    _check_none_interrupted(result)
    return result


def _drain_backend(run: scenario.Scenario) -> scenario_result.ScenarioResult:
    """Drain a backend server by the instance list; interrupt no call."""
    run.start()
    time.sleep(_WARM_UP_S)
    run.cluster.publish_leaving(_AFFECTED_INSTANCE)
    time.sleep(_DRAIN_S)
    url = f'http://{run.cluster.instances[_AFFECTED_INSTANCE].backend_address}/-/settings'
    http_json.request_json(url, {'draining': True})
    result = run.finish()
    _check_none_interrupted(result)
    return result


def _source_down(run: scenario.Scenario) -> scenario_result.ScenarioResult:
    """Make the source unavailable; calls must be served as before."""
    faults_url = f'{run.cluster.source_url}/-/faults'
    run.start()
    time.sleep(_WARM_UP_S)
    http_json.request_json(faults_url, {'down': True})
    result = run.finish()
    http_json.request_json(faults_url, {'down': False})
    _check_none_interrupted(result)
    unkeyed = [entry for entry in result.caller_entries if not entry.key]
    unserved = [entry for entry in unkeyed if entry.told != 'run']
    result.check(
        not unserved,
        f'{len(unserved)} calls without idempotency key not served',
    )
    return result


def _poison(run: scenario.Scenario) -> scenario_result.ScenarioResult:
    """Resend a request that crashes each backend server that runs it.

    At most two backend servers may crash.
    """
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
        for item in run.cluster.instances.values()
        if item.backend is not None and not item.backend.running
    )
    print(f'poison_crashes={crashes}')
    result.check(crashes, 'the poison request crashed no backend server')
    result.check(crashes <= _MAX_CRASHES, f'{crashes} backend servers crashed')
    return result


def _check_none_interrupted(result: scenario_result.ScenarioResult) -> None:
    unknown = [
        entry for entry in result.caller_entries if 'unknown' in entry.outcomes
    ]
    result.check(
        not unknown, f'{len(unknown)} requests have an unknown outcome'
    )
    incomplete = [
        entry for entry in result.run_entries if entry.state != 'completed'
    ]
    result.check(not incomplete, f'{len(incomplete)} runs did not complete')


def _still_serves(result: scenario_result.ScenarioResult) -> bool:
    """Return whether more than half of the last quarter of requests was run."""
    caller_entries = sorted(
        result.caller_entries, key=lambda entry: entry.sent_at
    )
    latest = caller_entries[-len(caller_entries) // 4 :]
    served = sum(1 for entry in latest if entry.told == 'run')
    return served * 2 > len(latest)


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
