"""Memory of ledger entries, and time of the ledger decisions for one key.

Prints one ``name=value`` per line. ``bytes_per_entry`` is the traced
allocations divided by the number of entries, each with its own key and
fingerprint. ``microseconds_per_key`` is the time to issue and parse a key and
to decide on its request and outcome.
"""

import statistics
import time
import tracemalloc

from medlarquay import events, ids, keys, ledger, states

__all__ = ('main',)

_ENTRIES = 20000
_ROUNDS = 5
_BODY_BYTES = 200
_US_PER_SECOND = 1e6
_WALL_TIME = 1700000000
_INSTANCE = ids.InstanceId('order-1')
_INCARNATION = ids.Incarnation('a1b2c3d4e5f60718')


def main() -> None:
    """Measure entries without an answer and with an answer of 200 bytes."""
    for name, body_bytes in (('unknown', None), ('answer_200', _BODY_BYTES)):
        tracemalloc.start()
        state = _new_ledger()
        before = tracemalloc.get_traced_memory()[0]
        _fill(state, body_bytes)
        after = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        print(f'bytes_per_entry_{name}={(after - before) / _ENTRIES:.0f}')
    samples = []
    for _ in range(_ROUNDS):
        state = _new_ledger()
        started_at = time.perf_counter()
        _fill(state, _BODY_BYTES)
        spent = time.perf_counter() - started_at
        samples.append(spent / _ENTRIES * _US_PER_SECOND)
    print(f'microseconds_per_key={statistics.median(samples):.2f}')


def _new_ledger() -> ledger.Ledger:
    state = ledger.Ledger(instance=_INSTANCE, incarnation=_INCARNATION)
    ledger.decide(
        events.FreshnessConfirmed(confirmed_at=1), state, 1, _WALL_TIME
    )
    return state


def _fill(state: ledger.Ledger, body_bytes: int | None) -> None:
    for number in range(_ENTRIES):
        key = keys.parse_key(
            keys.issue_key(
                instance=_INSTANCE,
                incarnation=_INCARNATION,
                issued_at=_WALL_TIME,
            ),
        )
        received = ledger.KeyReceived(
            key=key,
            fingerprint=ids.Fingerprint(number.to_bytes(16)),
            exchange=ids.ExchangeId(number),
        )
        ledger.decide(received, state, 1, _WALL_TIME)
        ledger.decide(_outcome(key.text, body_bytes), state, 1, _WALL_TIME)


def _outcome(key: ids.RequestKey, body_bytes: int | None) -> object:
    if body_bytes is None:
        return ledger.OutcomeLost(
            key=key,
            reason=states.RefusalReason.BACKEND_LOST,
        )
    return ledger.Answered(
        key=key,
        answer=ledger.RecordedAnswer(
            status=200,
            headers=((b'content-type', b'application/json'),),
            body=bytes(body_bytes),
        ),
    )


if __name__ == '__main__':
    main()
