"""Replays retries over a chain of calls with the last hop failing.

Each hop has the retry budget of its own ingress and uses the decision of
``medlarquay.routing``. Prints one ``name=value`` per line. The amplification
is the number of attempts at the last hop for each call of the first caller.
"""

import dataclasses
import random

from medlarquay import ids, messages, routing, states

__all__ = ('main',)

_HOPS = 5
_CALLS = 20000
_PLAIN_CALLS = 50
_PLAIN_RETRIES = 3
_TRIED = routing.RetryContext(
    idempotent=True,
    keyed=False,
    retries=0,
    deadline=10,
    expected_time=0.01,
    other_backend=True,
    newer_snapshot=False,
)
_DOWN = messages.CallRefused(
    call_id=ids.CallId(1),
    reason=states.RefusalReason.BACKEND_DOWN,
)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Chain:
    failing: float
    marked: bool
    random: random.Random
    budgets: list[routing.RetryBudget]
    last_attempts: int = 0

    def call(self, hop: int) -> messages.CallRefused | None:
        """Make one call at a hop; return its failure."""
        budget = self.budgets[hop]
        budget.count_first_attempt()
        tried = _TRIED
        while True:
            failure = self._attempt(hop)
            if failure is None:
                return None
            found = routing.decide_retry(failure, tried, budget, 0)
            if isinstance(found, routing.RetryDenied):
                return self._shed()
            tried = dataclasses.replace(tried, retries=tried.retries + 1)

    def _attempt(self, hop: int) -> messages.CallRefused | None:
        if hop + 1 < _HOPS:
            return self.call(hop + 1)
        self.last_attempts += 1
        return _DOWN if self.random.random() < self.failing else None

    def _shed(self) -> messages.CallRefused:
        # The backend server of this hop sheds its request and passes on
        # ``Medlarquay-Retry: no``; unmarked, it passes on the shed only.
        return messages.CallRefused(
            call_id=ids.CallId(1),
            reason=states.RefusalReason.SHED,
            retry_allowed=not self.marked,
        )


def main() -> None:
    """Print the amplification of the rule, its variants and the baseline."""
    print(f'retry_amplification={_replay(1, marked=True):.4f}')
    half = _replay(0.5, marked=True)
    print(f'retry_amplification_half_failing={half:.4f}')
    unmarked = _replay(1, marked=False)
    print(f'retry_amplification_mark_not_passed_on={unmarked:.4f}')
    plain = sum(_plain(0) for _ in range(_PLAIN_CALLS)) / _PLAIN_CALLS
    print(f'retry_amplification_plain_three_retries={plain:.1f}')


def _replay(failing: float, *, marked: bool) -> float:
    chain = _Chain(
        failing=failing,
        marked=marked,
        random=random.Random(1),
        budgets=[routing.RetryBudget() for _ in range(_HOPS)],
    )
    for _ in range(_CALLS):
        chain.call(0)
    return chain.last_attempts / _CALLS


def _plain(hop: int) -> int:
    if hop + 1 == _HOPS:
        return 1 + _PLAIN_RETRIES
    return sum(_plain(hop + 1) for _ in range(1 + _PLAIN_RETRIES))


if __name__ == '__main__':
    main()
