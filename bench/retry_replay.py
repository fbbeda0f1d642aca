"""Replays retries over a chain of calls whose last hop fails.

Each hop has the retry budget of its own ingress and uses the retry decision of
``medlarquay.routing``. Prints one ``name=value`` per line. The amplification
is the number of attempts at the last hop per call of the first caller.
"""

import dataclasses
import random

from medlarquay import ids, messages, routing, states

__all__ = ('main',)

_HOPS = 5
_CALLS = 20000
_PLAIN_CALLS = 50
_PLAIN_RETRIES = 3
_CONTEXT = routing.RetryContext(
    idempotent=True,
    keyed=False,
    retries=0,
    deadline=10,
    expected_time=0.01,
    other_backend=True,
    newer_snapshot=False,
)
_BACKEND_DOWN = messages.CallRefused(
    call_id=ids.CallId(1),
    reason=states.RefusalReason.BACKEND_DOWN,
)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Chain:
    failing_share: float
    mark_passed_on: bool
    random: random.Random
    budgets: list[routing.RetryBudget]
    last_attempts: int = 0

    def call(self, hop: int) -> messages.CallRefused | None:
        """Make one call at a hop with retries; return its refusal, if any."""
        budget = self.budgets[hop]
        budget.count_first_attempt()
        context = _CONTEXT
        while True:
            refusal = self._attempt(hop)
            if refusal is None:
                return None
            decision = routing.decide_retry(refusal, context, budget, 0)
            if isinstance(decision, routing.RetryDenied):
                return self._shed_refusal()
            context = dataclasses.replace(context, retries=context.retries + 1)

    def _attempt(self, hop: int) -> messages.CallRefused | None:
        if hop + 1 < _HOPS:
            return self.call(hop + 1)
        self.last_attempts += 1
        return (
            _BACKEND_DOWN if self.random.random() < self.failing_share else None
        )

    def _shed_refusal(self) -> messages.CallRefused:
        # The backend server of this hop answers its own request as shed. It
        # passes on the mark ``Medlarquay-Retry: no`` of the answer that it
        # got, or, in the variant without it, only sheds.
        return messages.CallRefused(
            call_id=ids.CallId(1),
            reason=states.RefusalReason.SHED,
            retry_allowed=not self.mark_passed_on,
        )


def main() -> None:
    """Print the amplification with retry budgets, variants and a baseline."""
    print(f'retry_amplification={_replay(1, mark_passed_on=True):.4f}')
    half = _replay(0.5, mark_passed_on=True)
    print(f'retry_amplification_half_failing={half:.4f}')
    unmarked = _replay(1, mark_passed_on=False)
    print(f'retry_amplification_mark_not_passed_on={unmarked:.4f}')
    plain = sum(_plain_attempts(0) for _ in range(_PLAIN_CALLS)) / _PLAIN_CALLS
    print(f'retry_amplification_plain_three_retries={plain:.1f}')


def _replay(failing_share: float, *, mark_passed_on: bool) -> float:
    chain = _Chain(
        failing_share=failing_share,
        mark_passed_on=mark_passed_on,
        random=random.Random(1),
        budgets=[routing.RetryBudget() for _ in range(_HOPS)],
    )
    for _ in range(_CALLS):
        chain.call(0)
    return chain.last_attempts / _CALLS


def _plain_attempts(hop: int) -> int:
    if hop + 1 == _HOPS:
        return 1 + _PLAIN_RETRIES
    return sum(_plain_attempts(hop + 1) for _ in range(1 + _PLAIN_RETRIES))


if __name__ == '__main__':
    main()
