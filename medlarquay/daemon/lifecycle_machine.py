"""The state machine of a node's lifecycle."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import automat

from medlarquay import states
from medlarquay.daemon import lifecycle_effects, lifecycle_inputs

__all__ = ('build_machine',)

_Inputs = lifecycle_inputs.LifecycleInputs
_Effects = lifecycle_effects.LifecycleEffects


def build_machine(effects: _Effects) -> _Inputs:
    """Build a state machine in the state *starting*."""
    return _MACHINE(effects)


def _define() -> Callable[[_Effects], _Inputs]:
    builder = automat.TypeMachineBuilder(_Inputs, _Effects)
    starting = builder.state(states.NodeState.STARTING.value)
    serving = builder.state(states.NodeState.SERVING.value)
    draining = builder.state(states.NodeState.DRAINING.value)
    flushing = builder.state(states.NodeState.FLUSHING.value)
    stopped = builder.state(states.NodeState.STOPPED.value)

    starting.upon(_Inputs.configure).to(serving)(_serve)
    serving.upon(_Inputs.unconfigure).to(starting)(_start_again)
    for accepting in (starting, serving):
        accepting.upon(_Inputs.drain).to(draining)(_drain)
        accepting.upon(_Inputs.finish).loop().returns(None)
    draining.upon(_Inputs.flush).to(flushing)(_flush)
    for state, stop in ((draining, _flush_and_stop), (flushing, _stop)):
        state.upon(_Inputs.finish).to(stopped)(stop)
    stopping = (draining, flushing, stopped)
    _ignore_repeated({
        _Inputs.configure: (serving, *stopping),
        _Inputs.unconfigure: (starting, *stopping),
        # A second signal does not shorten the drain, since a graceful stop must
        # not abort requests in flight.
        _Inputs.drain: stopping,
        _Inputs.flush: (flushing, stopped),
        _Inputs.finish: (stopped,),
    })
    return builder.build()


def _ignore_repeated(in_states: Mapping[Any, Iterable[Any]]) -> None:
    for command, ignoring in in_states.items():
        for state in ignoring:
            state.upon(command).loop().returns(None)


def _serve(inputs: _Inputs, effects: _Effects) -> None:
    effects.enter(states.NodeState.SERVING)


def _start_again(inputs: _Inputs, effects: _Effects) -> None:
    effects.enter(states.NodeState.STARTING)


def _drain(inputs: _Inputs, effects: _Effects) -> None:
    effects.enter(states.NodeState.DRAINING)
    effects.start_drain()


def _flush(inputs: _Inputs, effects: _Effects) -> None:
    effects.enter(states.NodeState.FLUSHING)


def _flush_and_stop(inputs: _Inputs, effects: _Effects) -> None:
    # Callers and other nodes are told that what they sent last was not run.
    _flush(inputs, effects)
    _stop(inputs, effects)


def _stop(inputs: _Inputs, effects: _Effects) -> None:
    effects.enter(states.NodeState.STOPPED)
    effects.stop()


_MACHINE = _define()
